package eventlog

import "encoding/json"

// Write is a put or, with Remove set, a delete in a transaction.
type Write struct {
	Key    string
	Value  json.RawMessage
	Remove bool
}

// Condition requires a key to have a version; 0 means that the key must not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Transaction is a transaction to be sent to the state service: all of its writes are executed if all of
// its conditions are met, and none otherwise.
type Transaction struct {
	Sequence   uint64 // passed to CommitResult with the outcome
	Conditions []Condition
	Writes     []Write
}

// Outcome is the result of a transaction.
type Outcome uint8

// Outcomes of a transaction, with the corresponding HTTP status codes of the state service.
const (
	Applied  Outcome = iota // 200
	Conflict                // 409
	Refused                 // 429, 503: not executed
	Unknown                 // no response or another status: may have been executed or may still be
	Invalid                 // 400: not executed, and would be rejected again in this form
)
