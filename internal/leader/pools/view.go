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

// Show gives, as JSON, all pools, or with the name of one as the view that one with
// its holders.
func (d *Component) Show(now time.Duration, view string) (json.RawMessage, error) {
	d.recount(now)
	var out any
	if view == "" {
		list := []View{}
		for _, p := range d.pools {
			list = append(list, d.view(now, p, false))
		}
		slices.SortFunc(list, func(a, b View) int { return strings.Compare(a.Pool, b.Pool) })
		out = list
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

func (d *Component) view(now time.Duration, p *pool, holders bool) View {
	v := View{Pool: p.name, Units: p.size, Settings: p.conf.Units, Pending: p.pendingSize, Drained: p.drained, Out: p.inUse, Uncertain: p.uncertain, Lost: p.lost,
		Waiting: p.waiting, Reserve: p.conf.Reserve, Version: p.changeVersion}
	if p.reservedFor != nil {
		v.First = idOf(p.reservedFor.job)
	}
	switch {
	case !p.known:
		v.Closed = "it is not in the leader's settings"
	case d.store.unreadableKey != "":
		v.Closed = d.store.unreadableKey + " cannot be read"
	case !d.store.loaded:
		v.Closed = "what was changed of pools is being read"
	case d.allocationBlocked:
		v.Closed = "a machine that has not reported may have units of any pool"
	}
	if holders {
		v.Holders = d.holding(now, p)
	}
	return v
}

// holding lists who has units of a pool out, since when, and what would prove that
// they are back.
func (d *Component) holding(now time.Duration, p *pool) (out []Holder) {
	index := p.index
	for _, h := range d.holders {
		for _, n := range h.requirements {
			if n.pool != index {
				continue
			}
			one := Holder{Job: idOf(h.job), Team: h.job.Record.Team, Task: -1, Units: n.units}
			if n.perJob {
				if h.holdsJobUnits {
					one.Back = "the end of the job's last task"
					one.Numbers = d.issuedNumbers(h.job.Record.ID, -1, index)
					out = append(out, one)
				}
				continue
			}
			out = append(out, d.tasksOf(now, h, one, index)...)
		}
	}
	for m, s := range d.orphans {
		for _, n := range s.requirements {
			if n.pool == index {
				out = append(out, Holder{Job: "a job that is over", Task: -1, Units: n.units, Machine: m.Name, Back: "a newer report of the machine without it, or its answered deletion"})
			}
		}
	}
	for _, l := range d.losses {
		if left := l.Until - d.wallClockMS(now); l.Pool == p.name && left > 0 {
			out = append(out, Holder{Job: "lost", Team: l.Team, Task: -1, Units: l.Units, Back: fmt.Sprintf("the end of hold_after_loss, in %d s", left/1000+1)})
		}
	}
	slices.SortFunc(out, func(a, b Holder) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), strings.Compare(a.Machine, b.Machine))
	})
	return out
}

func (d *Component) tasksOf(now time.Duration, h *holder, one Holder, index int32) (out []Holder) {
	j := h.job
	for k, s := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		t := d.Placements[ref]
		if s != jobs.Placed || t == nil {
			continue
		}
		x := one
		x.Task, x.Machine, x.Back = int(ref.Task), t.Machine.Name, "a newer report of the machine without it, or its answered deletion"
		if t.Planned {
			x.Back = "the pass that takes its plan back, or its start"
		}
		if t.Runs() {
			x.SinceS = (now - t.RanAt).Round(time.Millisecond).Seconds()
		}
		x.Numbers = d.issuedNumbers(j.Record.ID, int(ref.Task), index)
		out = append(out, x)
	}
	if n, _ := d.Unresolved(); n > 0 && j.Earlier && j.UnresolvedMachines > 0 {
		one.Machine = fmt.Sprintf("%d machines not heard", j.UnresolvedMachines)
		one.Back = "a report of those machines, or their answered deletion"
		one.Units = 0
		out = append(out, one)
	}
	return out
}
