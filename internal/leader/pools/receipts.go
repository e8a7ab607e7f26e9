package pools

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/workers"
)

// Receipts name the very units that a task has, so that a licence server can refuse
// a holder that was replaced. Units get numbers only when a holder asks, and the
// numbers are noted before it is answered: no other holder is ever given the same
// while this one may run.

const receiptBytes = 120

type receiptKey struct {
	job  uint64
	task int32 // -1: the job as a whole
	pool int32
}

type issuedReceipt struct {
	attempt uint64
	numbers []int64
	durable bool
}

// receiptIndex are kept by job, so that an end costs work for its own job only.
type receiptIndex struct {
	byJob map[uint64]map[receiptKey]*issuedReceipt
	total int
}

func (p *receiptIndex) get(key receiptKey) *issuedReceipt { return p.byJob[key.job][key] }

func (p *receiptIndex) set(key receiptKey, x *issuedReceipt) {
	if p.byJob[key.job] == nil {
		p.byJob[key.job] = map[receiptKey]*issuedReceipt{}
	}
	p.remove(key)
	p.byJob[key.job][key] = x
	p.total++
}

func (p *receiptIndex) remove(key receiptKey) {
	if p.byJob[key.job][key] != nil {
		delete(p.byJob[key.job], key)
		p.total--
	}
}

// storedReceipt notes which units a task, or a job as a whole, was told to have.
type storedReceipt struct {
	Job     uint64  `json:"j"`
	Task    int32   `json:"t"`
	Attempt uint64  `json:"a,omitempty"`
	Pool    string  `json:"p"`
	Numbers []int64 `json:"n"`
}

// Holding is a task that asks for a receipt.
type Holding struct {
	Job     uint64 `json:"job"`
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
}

// Receipt is what a task is certified to have. Until it is durable the same is to be
// asked for again.
type Receipt struct {
	Durable bool           `json:"durable"`
	Job     uint64         `json:"job"`
	Task    int            `json:"task"`
	Attempt uint64         `json:"attempt"`
	Epoch   uint64         `json:"epoch"`
	Units   []ReceiptUnits `json:"units"`
}

// ReceiptUnits are the units of one pool.
type ReceiptUnits struct {
	Pool    string  `json:"pool"`
	Numbers []int64 `json:"numbers"`
	PerJob  bool    `json:"per_job,omitempty"`
}

// issueReceipt gives a task's units their numbers.
func (d *Component) issueReceipt(now time.Duration, in *Holding) (*Receipt, error) {
	j := d.Jobs.Find(in.Job)
	if j == nil || in.Task < 0 || in.Task >= len(j.Tasks) {
		return nil, fmt.Errorf("pools: receipt: no such task is running")
	}
	h := d.byJob[j.Index]
	t := d.Placements[workers.Ref{Job: j.Index, Task: int32(in.Task)}]
	switch {
	case h == nil:
		return nil, fmt.Errorf("pools: receipt: the job needs no units")
	case t == nil || t.Attempt != in.Attempt || in.Attempt == 0 || (t.Planned && len(t.Offered) == 0):
		return nil, fmt.Errorf("pools: receipt: that attempt does not hold the task's units")
	}
	d.recount(now)
	out := &Receipt{Durable: true, Job: in.Job, Task: in.Task, Attempt: in.Attempt, Epoch: d.Epoch}
	for _, n := range h.requirements {
		key := receiptKey{in.Job, int32(in.Task), n.pool}
		attempt := in.Attempt
		if n.perJob {
			key.task, attempt = -1, 0
		}
		p := d.receipts.get(key)
		if p == nil || p.attempt != attempt {
			p = &issuedReceipt{attempt: attempt, numbers: d.pickNumbers(n)}
			d.receipts.set(key, p)
			d.EventLog.AppendTracked(eventlog.NewComponentEntry(Name, entry{Receipt: &storedReceipt{key.job, key.task, p.attempt, d.pools[key.pool].name, p.numbers}}))
		}
		out.Durable = out.Durable && p.durable
		out.Units = append(out.Units, ReceiptUnits{d.pools[n.pool].name, p.numbers, n.perJob})
	}
	return out, nil
}

// pickNumbers picks the lowest numbers that nobody may have.
func (d *Component) pickNumbers(n requirement) (out []int64) {
	taken := map[int64]bool{}
	for _, list := range d.receipts.byJob {
		for key, p := range list {
			if key.pool != n.pool {
				continue
			}
			if !d.mayStillHold(key, p) {
				d.receipts.remove(key)
				continue
			}
			for _, x := range p.numbers {
				taken[x] = true
			}
		}
	}
	for x := int64(1); int64(len(out)) < n.units; x++ {
		if !taken[x] {
			out = append(out, x)
		}
	}
	return out
}

// mayStillHold says whether a holder that was given numbers may still be there, or its units
// be counted elsewhere after its loss.
func (d *Component) mayStillHold(key receiptKey, p *issuedReceipt) bool {
	if d.pools[key.pool].lost > 0 {
		return true
	}
	unresolved, _ := d.Unresolved()
	j := d.Jobs.Find(key.job)
	if j == nil {
		return unresolved > 0 || len(d.orphans) > 0
	}
	if j.Earlier && unresolved > 0 {
		return true
	}
	if key.task < 0 {
		h := d.byJob[j.Index]
		return h != nil && h.holdsJobUnits
	}
	t := d.Placements[workers.Ref{Job: j.Index, Task: key.task}]
	return t != nil && t.Attempt == p.attempt
}

// dropReceipts forgets the numbers of a task, or with -1 of a job that has left, unless
// its units stay out.
func (d *Component) dropReceipts(job uint64, task int) {
	for key, p := range d.receipts.byJob[job] {
		if (task < 0 || key.task == int32(task)) && d.pools[key.pool].conf.HoldAfterLossS == 0 && p.durable {
			d.receipts.remove(key)
		}
	}
	if len(d.receipts.byJob[job]) == 0 {
		delete(d.receipts.byJob, job)
	}
}

func (d *Component) receiptDurable(s *storedReceipt) {
	if p := d.receipts.get(receiptKey{s.Job, s.Task, d.pool(s.Pool).index}); p != nil && p.attempt == s.Attempt && slices.Equal(p.numbers, s.Numbers) {
		p.durable = true
	}
}

func (d *Component) replayReceipt(own *eventlog.ComponentEntry) {
	var e entry
	if json.Unmarshal(own.Data, &e) != nil || e.Receipt == nil {
		return
	}
	d.receipts.set(receiptKey{e.Receipt.Job, e.Receipt.Task, d.pool(e.Receipt.Pool).index}, &issuedReceipt{e.Receipt.Attempt, e.Receipt.Numbers, true})
}

// compactReceipt writes anew the numbers of a holder that may be there.
func (d *Component) compactReceipt(e eventlog.Entry) {
	var x entry
	if json.Unmarshal(e.Component.Data, &x) != nil || x.Receipt == nil {
		return
	}
	key := receiptKey{x.Receipt.Job, x.Receipt.Task, d.pool(x.Receipt.Pool).index}
	if p := d.receipts.get(key); p != nil && p.attempt == x.Receipt.Attempt && d.mayStillHold(key, p) {
		d.EventLog.Append(e)
	}
}

// issuedNumbers are those that a holder was given, if it asked.
func (d *Component) issuedNumbers(job uint64, task int, pool int32) []int64 {
	if p := d.receipts.get(receiptKey{job, int32(task), pool}); p != nil {
		return p.numbers
	}
	return nil
}
