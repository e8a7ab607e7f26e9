package pools

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
)

// Receipts identify the individual units that a task has, so that a licence server can refuse a
// holder that was replaced. Units get numbers only when a holder requests a receipt, and the receipt
// is valid only once its log entry is durable: no other holder gets the same numbers while this one may
// run.

// receiptBytes is the approximate size of a receipt in the log.
const receiptBytes = 120

// wholeJobTask is the task number that stands for a job's per-job units.
const wholeJobTask = -1

var (
	errNoSuchTask   = errors.New("pools: receipt: no such task is running")
	errNoUnits      = errors.New("pools: receipt: the job needs no units")
	errNotTheHolder = errors.New("pools: receipt: that attempt does not hold the task's units")
)

type receiptKey struct {
	job  uint64
	task int32 // wholeJobTask for per-job units
	pool int32
}

type issuedReceipt struct {
	attempt uint64 // 0 for per-job units
	numbers []int64
	durable bool
}

// receiptIndex holds the receipts by job, so that the end of a job or task only has to go through the
// receipts of that job.
type receiptIndex struct {
	byJob map[uint64]map[receiptKey]*issuedReceipt
	total int
}

func (x *receiptIndex) get(key receiptKey) *issuedReceipt { return x.byJob[key.job][key] }

func (x *receiptIndex) set(key receiptKey, r *issuedReceipt) {
	if x.byJob[key.job] == nil {
		x.byJob[key.job] = map[receiptKey]*issuedReceipt{}
	}
	x.remove(key)
	x.byJob[key.job][key] = r
	x.total++
}

func (x *receiptIndex) remove(key receiptKey) {
	if x.byJob[key.job][key] != nil {
		delete(x.byJob[key.job], key)
		x.total--
	}
}

// storedReceipt is the log entry of a receipt for the units of a task or the per-job units of a job.
type storedReceipt struct {
	Job     uint64  `json:"j"`
	Task    int32   `json:"t"`
	Attempt uint64  `json:"a,omitempty"`
	Pool    string  `json:"p"`
	Numbers []int64 `json:"n"`
}

// ReceiptRequest identifies the task that requests a receipt.
type ReceiptRequest struct {
	Job     uint64 `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
}

// Receipt lists the units that a task holds, with their numbers. Until it is durable, the client has to
// repeat the request.
type Receipt struct {
	Durable bool           `json:"durable"`
	Job     uint64         `json:"job"`
	Task    int            `json:"task"`
	Attempt uint64         `json:"attempt"`
	Epoch   uint64         `json:"epoch"` // of the leader that returned it
	Units   []ReceiptUnits `json:"units"`
}

// ReceiptUnits are the units of one pool in a receipt.
type ReceiptUnits struct {
	Pool    string  `json:"pool"`
	Numbers []int64 `json:"numbers"`
	PerJob  bool    `json:"per_job,omitempty"`
}

// issueReceipt returns the receipt of a task and assigns numbers to its units that have none.
func (d *Component) issueReceipt(now time.Duration, in *ReceiptRequest) (*Receipt, error) {
	h, err := d.holderOf(in)
	if err != nil {
		return nil, err
	}
	d.recount(now)
	out := &Receipt{Durable: true, Job: in.Job, Task: in.Task, Attempt: in.Attempt, Epoch: d.Epoch}
	for _, r := range h.requirements {
		key, attempt := receiptKey{job: in.Job, task: int32(in.Task), pool: r.pool}, in.Attempt
		if r.perJob {
			key.task, attempt = wholeJobTask, 0
		}
		issued := d.receipts.get(key)
		if issued == nil || issued.attempt != attempt {
			issued = &issuedReceipt{attempt: attempt, numbers: d.pickNumbers(r)}
			d.receipts.set(key, issued)
			d.logReceipt(key, issued)
		}
		out.Durable = out.Durable && issued.durable
		out.Units = append(out.Units, ReceiptUnits{Pool: d.pools[r.pool].name, Numbers: issued.numbers, PerJob: r.perJob})
	}
	return out, nil
}

// holderOf returns the job of a task, or an error if the given attempt does not hold the task's units
// now.
func (d *Component) holderOf(in *ReceiptRequest) (*holder, error) {
	j := d.Jobs.ByID(in.Job)
	if j == nil || in.Task < 0 || in.Task >= len(j.Tasks) {
		return nil, errNoSuchTask
	}
	h := d.byJob[j.Index]
	if h == nil {
		return nil, errNoUnits
	}
	t := d.Placements[workers.TaskRef{Job: j.Index, Task: int32(in.Task)}]
	if t == nil || t.Attempt != in.Attempt || in.Attempt == 0 || (t.Planned && len(t.Offered) == 0) {
		return nil, errNotTheHolder
	}
	return h, nil
}

func (d *Component) logReceipt(key receiptKey, issued *issuedReceipt) {
	d.EventLog.AppendTracked(eventlog.NewComponentEntry(Name, entry{Receipt: &storedReceipt{
		Job:     key.job,
		Task:    key.task,
		Attempt: issued.attempt,
		Pool:    d.pools[key.pool].name,
		Numbers: issued.numbers,
	}}))
}

// pickNumbers returns the lowest numbers that no holder may have, and removes the receipts of holders
// that are gone.
func (d *Component) pickNumbers(r requirement) (out []int64) {
	taken := map[int64]bool{}
	for _, list := range d.receipts.byJob {
		for key, issued := range list {
			if key.pool != r.pool {
				continue
			}
			if !d.mayStillHold(key, issued) {
				d.receipts.remove(key)
				continue
			}
			for _, n := range issued.numbers {
				taken[n] = true
			}
		}
	}
	for n := int64(1); int64(len(out)) < r.units; n++ {
		if !taken[n] {
			out = append(out, n)
		}
	}
	return out
}

// mayStillHold reports whether the holder of a receipt may still be running, or its units may be in
// use after its loss.
func (d *Component) mayStillHold(key receiptKey, issued *issuedReceipt) bool {
	if d.pools[key.pool].lost > 0 {
		return true
	}
	unresolved, _ := d.Unresolved()
	j := d.Jobs.ByID(key.job)
	if j == nil {
		return unresolved > 0 || len(d.orphans) > 0
	}
	if j.FromEarlierTerm && unresolved > 0 {
		return true
	}
	if key.task == wholeJobTask {
		h := d.byJob[j.Index]
		return h != nil && h.holdsJobUnits
	}
	t := d.Placements[workers.TaskRef{Job: j.Index, Task: key.task}]
	return t != nil && t.Attempt == issued.attempt
}

// dropReceipts removes the durable receipts of a task, or, with wholeJobTask, all durable receipts of
// a job that was removed. Those of pools with a hold after losses stay.
func (d *Component) dropReceipts(job uint64, task int) {
	for key, issued := range d.receipts.byJob[job] {
		ofTask := task == wholeJobTask || key.task == int32(task)
		if ofTask && d.pools[key.pool].conf.HoldAfterLossS == 0 && issued.durable {
			d.receipts.remove(key)
		}
	}
	if len(d.receipts.byJob[job]) == 0 {
		delete(d.receipts.byJob, job)
	}
}

// receiptKeyOf returns the key of a stored receipt.
func (d *Component) receiptKeyOf(s *storedReceipt) receiptKey {
	return receiptKey{job: s.Job, task: s.Task, pool: d.pool(s.Pool).index}
}

func (d *Component) receiptDurable(s *storedReceipt) {
	issued := d.receipts.get(d.receiptKeyOf(s))
	if issued != nil && issued.attempt == s.Attempt && slices.Equal(issued.numbers, s.Numbers) {
		issued.durable = true
	}
}

// decodeReceipt decodes a log entry of the component. It returns nil if the entry is not a receipt.
func decodeReceipt(logged *eventlog.ComponentEntry) *storedReceipt {
	var e entry
	if json.Unmarshal(logged.Data, &e) != nil {
		return nil
	}
	return e.Receipt
}

func (d *Component) replayReceipt(logged *eventlog.ComponentEntry) {
	if s := decodeReceipt(logged); s != nil {
		d.receipts.set(d.receiptKeyOf(s), &issuedReceipt{attempt: s.Attempt, numbers: s.Numbers, durable: true})
	}
}

// compactReceipt appends a receipt to the log again if its holder may still be running.
func (d *Component) compactReceipt(e eventlog.Entry) {
	s := decodeReceipt(e.Component)
	if s == nil {
		return
	}
	key := d.receiptKeyOf(s)
	issued := d.receipts.get(key)
	if issued != nil && issued.attempt == s.Attempt && d.mayStillHold(key, issued) {
		d.EventLog.Append(e)
	}
}

// issuedNumbers returns the numbers of a holder's units, or nil if it requested no receipt.
func (d *Component) issuedNumbers(job uint64, task int, pool int32) []int64 {
	if issued := d.receipts.get(receiptKey{job: job, task: int32(task), pool: pool}); issued != nil {
		return issued.numbers
	}
	return nil
}
