package wire

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
)

// This file is the other side of the protocols: what workers, users, the state service and the
// cloud read and write. Stand-ins of them speak through it.

// Paths of the state service and of the cloud.
const (
	PathKeys         = "/keys"
	PathTransactions = "/multi"
	PathHolds        = "/holds"
	PathFollow       = "/follow"
	PathMachineTypes = "/machine_types"
	PathRentals      = "/rentals"
	PathDelete       = "/rentals/delete"
)

// wordFor is the word for a value of a table of words.
func wordFor[T comparable](table map[string]T, value T) string {
	for w, v := range table {
		if v == value {
			return w
		}
	}
	return ""
}

// EncodeReport is the body of a worker's report.
func EncodeReport(r *workers.Report) []byte {
	out := report{Machine: r.Machine, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, Seq: r.Seq, Token: r.Token, Tasks: make([]reportedTask, len(r.Tasks))}
	if r.Notice {
		out.NoticeS = &r.NoticeS
	}
	for i, t := range r.Tasks {
		out.Tasks[i] = reportedTask{Task: FormatTask(t.Job, t.Task), Attempt: t.Attempt, State: wordFor(taskStateWords, t.State), Saved: t.Saved}
		if t.State == workers.Ended {
			out.Tasks[i].Why = wordFor(reasonWords, t.Reason)
		}
	}
	return encode(out)
}

// FormatTask writes a task's name.
func FormatTask(job uint64, task int) string { return FormatID(job) + "/" + strconv.Itoa(task) }

func parseCommands(in []command) ([]workers.Command, error) {
	out := make([]workers.Command, len(in))
	for i, c := range in {
		op, known := indexOf(commandWords, c.Op)
		job, task, ok := ParseTask(c.Task)
		if !known || !ok {
			return nil, fmt.Errorf("wire: a command that cannot be read: %q, %q", c.Op, c.Task)
		}
		out[i] = workers.Command{Op: workers.Op(op), Job: job, Task: task, Attempt: c.Attempt}
		if c.GraceS != nil {
			out[i].GraceS = *c.GraceS
		}
	}
	return out, nil
}

// ParseReportAnswer reads what a controller answers to a report with status 200.
func ParseReportAnswer(body []byte) (token uint64, cmds []workers.Command, err error) {
	var in reportAnswer
	if err := json.Unmarshal(body, &in); err != nil {
		return 0, nil, fmt.Errorf("wire: an answer that cannot be read: %w", err)
	}
	cmds, err = parseCommands(in.Commands)
	return in.Token, cmds, err
}

// ParseRedirect reads where a worker is sent with status 421; empty: to the next controller.
func ParseRedirect(body []byte) string {
	var in redirect
	if json.Unmarshal(body, &in) != nil {
		return ""
	}
	return in.Node
}

// DirectCommands is what a worker is told at its own address.
type DirectCommands struct {
	Token, Session uint64
	Commands       []workers.Command
}

// ParseDirectCommands reads direct commands.
func ParseDirectCommands(body []byte) (DirectCommands, error) {
	var in directCommands
	if err := json.Unmarshal(body, &in); err != nil {
		return DirectCommands{}, fmt.Errorf("wire: direct commands that cannot be read: %w", err)
	}
	cmds, err := parseCommands(in.Commands)
	return DirectCommands{in.Token, in.Session, cmds}, err
}

// EncodeSubmission is the body with which a user submits a job.
func EncodeSubmission(j *eventlog.Job) []byte {
	id := FormatID(j.ID)
	s := submission{ID: &id, Class: &j.Class, Team: &j.Team, Kind: &kindWords[j.Kind], Priority: &priorityWords[j.Priority], Tasks: &j.Tasks,
		CPUs: &j.CPUs, GPUs: &j.GPUs, MemoryGB: &j.MemoryGB, Image: &j.Image, ImageGB: &j.ImageGB, Types: j.Types,
		OneZone: &j.OneZone, Spread: &j.Spread, Spot: &j.Spot, EstimateS: &j.EstimateS, Checkpoint: &j.Checkpoint, SaveS: &j.SaveS}
	if j.Zone != "" {
		s.Zone = &j.Zone
	}
	if j.DeadlineS > 0 {
		s.DeadlineS = &j.DeadlineS
	}
	for _, f := range j.Follows {
		s.Follows = append(s.Follows, FormatID(f))
	}
	return encode(s)
}

// JobPath and AbortPath are where a user asks for a job, and cancels it.
func JobPath(id uint64) string   { return PathJobs + "/" + FormatID(id) }
func AbortPath(id uint64) string { return JobPath(id) + "/abort" }

// ParseJobAnswer reads what a user is told of a job.
func ParseJobAnswer(body []byte) (JobState, error) {
	var in jobAnswer
	if err := json.Unmarshal(body, &in); err != nil {
		return 0, fmt.Errorf("wire: a job's state that cannot be read: %w", err)
	}
	state, known := indexOf(jobStateWords, in.State)
	if !known {
		return 0, fmt.Errorf("wire: %q is no state of a job", in.State)
	}
	return JobState(state), nil
}

// StateWrite is one change of a transaction, as the state service reads it.
type StateWrite struct {
	Key    string
	Value  json.RawMessage
	Hold   uint64
	Remove bool
}

// StateTxn is a transaction, as the state service reads it.
type StateTxn struct {
	Conds  []eventlog.Condition
	Writes []StateWrite
}

// ParseTxn reads a transaction.
func ParseTxn(body []byte) (StateTxn, error) {
	var in transaction
	if err := json.Unmarshal(body, &in); err != nil {
		return StateTxn{}, fmt.Errorf("wire: a transaction that cannot be read: %w", err)
	}
	var out StateTxn
	for _, c := range in.Conditions {
		out.Conds = append(out.Conds, eventlog.Condition{Key: c.Key, Version: c.Version})
	}
	for _, p := range in.Writes {
		if p.Delete != "" {
			out.Writes = append(out.Writes, StateWrite{Key: p.Delete, Remove: true})
			continue
		}
		out.Writes = append(out.Writes, StateWrite{Key: p.Put, Value: p.Value, Hold: p.LeaseID})
	}
	return out, nil
}

// TxnAnswer is the body that answers a transaction: with the conditions that failed, if any.
func TxnAnswer(revision uint64, failed []string) []byte {
	return encode(transactionAnswer{Revision: revision, Failed: failed})
}

// StateQuery is what is asked of keys, or of their changes.
type StateQuery struct {
	Prefix, After string
	Most          int
	Since         uint64
	Wait          time.Duration
}

// ParseStateQuery reads the query of a request for keys or changes.
func ParseStateQuery(v url.Values) (StateQuery, error) {
	q := StateQuery{Prefix: v.Get("starts"), After: v.Get("since")}
	for _, x := range []struct {
		name string
		to   func(uint64)
	}{
		{"most", func(n uint64) { q.Most = int(n) }},
		{"hold_ms", func(n uint64) { q.Wait = time.Duration(n) * time.Millisecond }},
	} {
		if v.Get(x.name) == "" {
			continue
		}
		n, err := strconv.ParseUint(v.Get(x.name), 10, 31)
		if err != nil {
			return q, fmt.Errorf("wire: %s: %q is no number", x.name, v.Get(x.name))
		}
		x.to(n)
	}
	if n, err := strconv.ParseUint(q.After, 10, 64); err == nil {
		q.Since = n
	}
	return q, nil
}

type leasedItem struct {
	storedItem
	LeaseID uint64 `json:"tether,omitempty"`
}

// StateItem is the body that gives one key; hold is what it hangs on, or 0.
func StateItem(it Item, hold uint64) []byte { return encode(leasedItem{storedItem(it), hold}) }

type itemPage struct {
	Items    []storedItem `json:"rows"`
	More     bool         `json:"has_next"`
	Revision uint64       `json:"ledger_mark"`
}

// StatePage is the body that gives a page of keys.
func StatePage(items []Item, more bool, revision uint64) []byte {
	rows := make([]storedItem, len(items))
	for i, it := range items {
		rows[i] = storedItem(it)
	}
	return encode(itemPage{rows, more, revision})
}

type keyChange struct {
	Write   string          `json:"write,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"entry_mark"`
}

type changesAnswer struct {
	Revision uint64      `json:"ledger_mark"`
	Changes  []keyChange `json:"news"`
}

// StateNews is the body that tells of changes; those without a value are removals.
func StateNews(revision uint64, changed []Item) []byte {
	list := make([]keyChange, len(changed))
	for i, it := range changed {
		list[i] = keyChange{Write: it.Key, Value: it.Value, Version: it.Mark}
		if it.Value == nil {
			list[i] = keyChange{Remove: it.Key, Version: it.Mark}
		}
	}
	return encode(changesAnswer{revision, list})
}

type leaseRequest struct {
	TTLMS int64 `json:"life_ms"`
}

type leaseAnswer struct {
	ID uint64 `json:"tether"`
}

// ParseLease reads how long a hold is to live.
func ParseLease(body []byte) (time.Duration, error) {
	var in leaseRequest
	if err := json.Unmarshal(body, &in); err != nil || in.TTLMS <= 0 {
		return 0, fmt.Errorf("wire: life_ms: missing or not a number above 0")
	}
	return time.Duration(in.TTLMS) * time.Millisecond, nil
}

// LeaseAnswer is the body that gives a new hold.
func LeaseAnswer(id uint64) []byte { return encode(leaseAnswer{id}) }

// MachineTypes is the body with which the cloud gives its machine types.
func MachineTypes(types []eventlog.MachineType) []byte {
	var out machineTypes
	for _, t := range types {
		out.Types = append(out.Types, machineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
			Fetch: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones})
	}
	return encode(out)
}

// ParseRental reads a rental request.
func ParseRental(body []byte) (eventlog.Rental, error) {
	var in rentalRequest
	if err := json.Unmarshal(body, &in); err != nil || in.Request == "" {
		return eventlog.Rental{}, fmt.Errorf("wire: a rental request that cannot be read")
	}
	return eventlog.Rental{Name: in.Request, Type: in.Type, Zone: in.Zone, Spot: in.Spot, Count: in.Count}, nil
}

// RentalAnswer is the body that names the machines rented.
func RentalAnswer(names []string) []byte { return encode(machineNames{names}) }

// ParseMachineNames reads which machines are to be deleted.
func ParseMachineNames(body []byte) ([]string, error) {
	var in machineNames
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("wire: machine names that cannot be read: %w", err)
	}
	return in.Machines, nil
}

// NoCapacityProblem is the body with which the cloud refuses a rental request for want of machines.
func NoCapacityProblem() []byte { return ErrorBody(noCapacityWord) }

// MachineList is the body with which the cloud lists machines.
func MachineList(list []ListedMachine, more bool) []byte {
	out := machineList{Machines: make([]listedMachine, len(list)), More: more}
	for i, l := range list {
		m := l.Machine
		out.Machines[i] = listedMachine{Name: m.Name, Address: m.Address, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: "running", HeldS: l.HeldS}
		if l.Failed {
			out.Machines[i].State = failedWord
		}
	}
	return encode(out)
}
