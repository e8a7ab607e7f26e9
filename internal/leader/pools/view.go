package pools

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/wire"
)

// View is the view of a pool for operators.
type View struct {
	Pool      string   `json:"pool"`
	Units     int64    `json:"units"`
	Settings  int      `json:"units_in_settings"`
	Pending   int64    `json:"units_to_come,omitempty"` // a larger size, in effect once it is durable
	Drained   bool     `json:"drained,omitempty"`
	Out       int64    `json:"out"`               // units in use
	Uncertain int64    `json:"uncertain"`         // part of Out: may be in use on unresolved machines
	Lost      int64    `json:"after_loss"`        // part of Out: held for a while after the loss of their holder
	Waiting   int64    `json:"waiting"`           // units that waiting tasks need
	Reserve   int      `json:"reserve,omitempty"` // units that only urgent jobs may use
	Version   uint64   `json:"version"`           // number of changes by operators
	First     string   `json:"first,omitempty"`   // the job that has the next units reserved
	Closed    string   `json:"closed,omitempty"`  // why no unit is allocated; empty: units may be
	Holders   []Holder `json:"holders,omitempty"`
}

// Holder is the view of a task that has units in use, of a job that has per-job units in use, or of units
// that stay in use after a loss.
type Holder struct {
	Job     string  `json:"job"`
	Team    string  `json:"team"`
	Task    int     `json:"task"` // -1: the whole job, or not known
	Units   int64   `json:"units"`
	Machine string  `json:"machine,omitempty"`
	SinceS  float64 `json:"since_s,omitempty"` // seconds since it was first reported as running
	Numbers []int64 `json:"numbers,omitempty"` // of the units, if a receipt was requested
	Back    string  `json:"back"`              // what would release its units
}

func jobID(j *jobs.Job) string { return wire.FormatID(j.Record.ID) }

// Show returns the views of all pools as JSON, or, if view is the name of a pool, the view of that
// pool with its holders.
func (d *Component) Show(now time.Duration, view string) (json.RawMessage, error) {
	d.recount(now)
	var out any
	if view == "" {
		out = d.views(now)
	} else {
		i, ok := d.byName[view]
		if !ok {
			return nil, cluster.ErrUnknownView
		}
		out = d.view(now, d.pools[i], true)
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("pools: %w", err)
	}
	return raw, nil
}

// views returns the views of all pools, sorted by name and without their holders.
func (d *Component) views(now time.Duration) []View {
	list := []View{}
	for _, p := range d.pools {
		list = append(list, d.view(now, p, false))
	}
	slices.SortFunc(list, func(a, b View) int { return strings.Compare(a.Pool, b.Pool) })
	return list
}

func (d *Component) view(now time.Duration, p *pool, withHolders bool) View {
	v := View{
		Pool:      p.name,
		Units:     p.size,
		Settings:  p.conf.Units,
		Pending:   p.pendingSize,
		Drained:   p.drained,
		Out:       p.inUse,
		Uncertain: p.uncertain,
		Lost:      p.lost,
		Waiting:   p.waiting,
		Reserve:   p.conf.Reserve,
		Version:   p.changeVersion,
		Closed:    d.closedReason(p),
	}
	if p.reservedFor != nil {
		v.First = jobID(p.reservedFor.job)
	}
	if withHolders {
		v.Holders = d.holdersOf(now, p)
	}
	return v
}

// closedReason returns why no unit of a pool is allocated, or an empty string if units may be
// allocated.
func (d *Component) closedReason(p *pool) string {
	switch {
	case !p.inSettings:
		return "it is not in the leader's settings"
	case d.store.unreadableKey != "":
		return d.store.unreadableKey + " cannot be read"
	case !d.store.loaded:
		return "what was changed of pools is being read"
	case d.allocationBlocked:
		return "a machine that has not reported may have units of any pool"
	}
	return ""
}

// releasedByReport describes what releases the units of a task on a machine.
const releasedByReport = "a newer report of the machine without it, or its answered deletion"

// holdersOf returns the views of all holders of units of a pool, sorted by job, task and machine.
func (d *Component) holdersOf(now time.Duration, p *pool) (out []Holder) {
	for _, h := range d.holders {
		for _, r := range h.requirements {
			switch {
			case r.pool != p.index:
			case !r.perJob:
				out = append(out, d.taskHolders(now, h, r)...)
			case h.holdsJobUnits:
				out = append(out, d.jobHolder(h, r))
			}
		}
	}
	out = append(out, d.orphanHolders(p)...)
	out = append(out, d.lossHolders(now, p)...)
	slices.SortFunc(out, func(a, b Holder) int {
		return cmp.Or(
			strings.Compare(a.Job, b.Job),
			cmp.Compare(a.Task, b.Task),
			strings.Compare(a.Machine, b.Machine),
		)
	})
	return out
}

// newView returns the view of a job as a holder of per-job units. For a task, the caller sets the task
// number.
func (h *holder) newView(r requirement) Holder {
	return Holder{Job: jobID(h.job), Team: h.job.Record.Team, Task: wholeJobTask, Units: r.units}
}

func (d *Component) jobHolder(h *holder, r requirement) Holder {
	v := h.newView(r)
	v.Back = "the end of the job's last task"
	v.Numbers = d.issuedNumbers(h.job.Record.ID, wholeJobTask, r.pool)
	return v
}

// taskHolders returns the views of a job's placed tasks, and one view for all machines that have not
// reported and may have more of its tasks.
func (d *Component) taskHolders(now time.Duration, h *holder, r requirement) (out []Holder) {
	j := h.job
	for k, state := range j.Tasks {
		t := d.Placements[workers.TaskRef{Job: j.Index, Task: int32(k)}]
		if state != jobs.Placed || t == nil {
			continue
		}
		v := h.newView(r)
		v.Task, v.Machine, v.Back = k, t.Machine.Name, releasedByReport
		if t.Planned {
			v.Back = "the pass that takes its plan back, or its start"
		}
		if t.IsRunning() {
			v.SinceS = (now - t.RunningSince).Round(time.Millisecond).Seconds()
		}
		v.Numbers = d.issuedNumbers(j.Record.ID, k, r.pool)
		out = append(out, v)
	}
	if n, _ := d.Unresolved(); n > 0 && j.FromEarlierTerm && j.UnresolvedMachines > 0 {
		v := h.newView(r)
		v.Units = 0
		v.Machine = fmt.Sprintf("%d machines not heard", j.UnresolvedMachines)
		v.Back = "a report of those machines, or their answered deletion"
		out = append(out, v)
	}
	return out
}

func (d *Component) orphanHolders(p *pool) (out []Holder) {
	for m, s := range d.orphans {
		for _, r := range s.requirements {
			if r.pool == p.index {
				out = append(out, Holder{
					Job:     "a job that is over",
					Task:    wholeJobTask,
					Units:   r.units,
					Machine: m.Name,
					Back:    releasedByReport,
				})
			}
		}
	}
	return out
}

func (d *Component) lossHolders(now time.Duration, p *pool) (out []Holder) {
	for _, l := range d.losses {
		leftMS := l.Until - d.wallClockMS(now)
		if l.Pool == p.name && leftMS > 0 {
			out = append(out, Holder{
				Job:   "lost",
				Team:  l.Team,
				Task:  wholeJobTask,
				Units: l.Units,
				Back:  fmt.Sprintf("the end of hold_after_loss, in %d s", leftMS/1000+1),
			})
		}
	}
	return out
}
