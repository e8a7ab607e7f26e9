package eventlog

import "encoding/json"

// Write is a put (or, with Remove, a delete) of a transaction.
type Write struct {
	Key    string
	Value  json.RawMessage
	Remove bool
}

// Condition is a version that a key must have; 0: it must not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Transaction is a transaction to be sent to the state service: all of its writes are executed if
// all of its conditions are met, or none.
type Transaction struct {
	Sequence   uint64 // handed back with the outcome
	Conditions []Condition
	Writes     []Write
}

// Outcome is what became of a transaction.
type Outcome uint8

// Outcomes of a transaction, with the statuses of the state service that mean them.
const (
	Applied  Outcome = iota // 200
	Conflict                // 409
	Refused                 // 429, 503: not executed
	Unknown                 // no response: may be executed, now or later
	Invalid                 // 400: not executed, and never will be in this form
)
