package node

import (
	"encoding/json"

	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
)

// Every entry must fit into a value of the state service, so what can be long
// is written as several entries that mean the same.

// entryBytes is what an entry takes besides the list that is split.
const entryBytes = 64

// fitting splits names into lists of at most room bytes as JSON; each has at
// least one name, unless there are none at all.
func fitting(names []string, room int) [][]string {
	var out [][]string
	used, from := 0, 0
	for i, n := range names {
		raw, err := json.Marshal(n)
		if err != nil {
			continue // a string always can be written
		}
		if i > from && used+len(raw)+1 > room {
			out = append(out, names[from:i])
			used, from = 0, i
		}
		used += len(raw) + 1
	}
	return append(out, names[from:])
}

// appendJob appends what is durable of a job's acceptance. What it follows
// may take entries of its own, which are kept beside it from then on.
func (t *Term) appendJob(j *jobs.Job, tag any) {
	rec, parts := t.stored(j.Rec)
	if j.Rec.Rest == 0 {
		for _, p := range parts {
			t.log.Append(p, nil)
		}
	}
	j.Rec.Rest = rec.Rest
	t.log.Append(ledger.Entry{Job: &rec}, tag)
}

// appendTypes appends machine types; further entries have the zones that do
// not fit into the first of a type.
func (t *Term) appendTypes(list []ledger.Type) {
	for _, ty := range list {
		all := ty.Zones
		ty.Zones = nil
		raw, err := json.Marshal(ty)
		if err != nil {
			continue // all amounts were checked when they came
		}
		for i, zones := range fitting(all, t.log.Room()-len(raw)-entryBytes) {
			part := ty
			part.Zones, part.More = zones, i > 0
			t.log.Append(ledger.Entry{Types: []ledger.Type{part}}, nil)
		}
	}
}

// appendAnswered appends the answer to a rental request. Where its machines
// need several entries, the request is noted anew before each further one: a
// leader that finds only the first ones sends it again and learns the rest.
func (t *Term) appendAnswered(r ledger.Rental, machines []string) {
	for i, names := range fitting(machines, t.log.Room()-len(r.Name)-entryBytes) {
		if i > 0 {
			t.log.Append(ledger.Entry{Rental: &r}, nil)
		}
		t.log.Append(ledger.Entry{Answered: &ledger.Answered{Name: r.Name, Machines: names}}, nil)
	}
}

// appendGone appends that machines are gone.
func (t *Term) appendGone(names []string) {
	for _, part := range fitting(names, t.log.Room()-entryBytes) {
		t.log.Append(ledger.Entry{Gone: part}, nil)
	}
}
