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

// View is a pool as operators see it.
type View struct {
	Pool      string   `json:"pool"`
	Units     int64    `json:"units"`
	Settings  int      `json:"units_in_settings"`
	Pending   int64    `json:"units_to_come,omitempty"` // once that is durable
	Drained   bool     `json:"drained,omitempty"`
	Out       int64    `json:"out"`
	Uncertain int64    `json:"uncertain"`  // of those out: on machines that have not reported in this term
	Lost      int64    `json:"after_loss"` // of those out: for a while after their holder's loss
	Waiting   int64    `json:"waiting"`    // units that waiting tasks need
	Reserve   int      `json:"reserve,omitempty"`
	Version   uint64   `json:"version"`
	First     string   `json:"first,omitempty"` // the job whose next units are kept for it
	Closed    string   `json:"closed,omitempty"`
	Holders   []Holder `json:"holders,omitempty"`
}

// Holder is a task, or a job as a whole, that has units out.
type Holder struct {
	Job     string  `json:"job"`
	Team    string  `json:"team"`
	Task    int     `json:"task"` // -1: the job as a whole, or it is not known which
	Units   int64   `json:"units"`
	Machine string  `json:"machine,omitempty"`
	SinceS  float64 `json:"since_s,omitempty"` // seconds ago it was seen to run
	Numbers []int64 `json:"numbers,omitempty"` // of units, where a receipt was asked for
	Back    string  `json:"back"`              // by what its units would come back
}

func idOf(j *jobs.Job) string { return wire.FormatID(j.Record.ID) }

// Show returns, as JSON, a list of View of all pools, or with the name of one as the view
// that one with its holders.
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

// views are all pools by name, without their holders.
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
		v.First = idOf(p.reservedFor.job)
	}
	if withHolders {
		v.Holders = d.holdersOf(now, p)
	}
	return v
}

// closedReason says why no unit of a pool is allocated; empty: some may be.
func (d *Component) closedReason(p *pool) string {
	switch {
	case !p.known:
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

// releasedByReport is by what the units of a task on a machine come back.
const releasedByReport = "a newer report of the machine without it, or its answered deletion"

// holdersOf lists who has units of a pool in use, since when, and what would prove that
// they are back.
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

// newView makes the view of a job that holds units as a whole, or of its tasks.
func (h *holder) newView(r requirement) Holder {
	return Holder{Job: idOf(h.job), Team: h.job.Record.Team, Task: wholeJobTask, Units: r.units}
}

func (d *Component) jobHolder(h *holder, r requirement) Holder {
	v := h.newView(r)
	v.Back = "the end of the job's last task"
	v.Numbers = d.issuedNumbers(h.job.Record.ID, wholeJobTask, r.pool)
	return v
}

// taskHolders lists the placed tasks of a job, and the machines that have not reported and
// may have more of them.
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
