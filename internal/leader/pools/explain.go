package pools

import (
	"fmt"
	"strings"

	"bitternmoor/internal/core/jobs"
)

// WaitReason returns an explanation for the user why a job waits for units, or an empty string if it
// does not wait for units.
func (d *Component) WaitReason(j *jobs.Job) string {
	h := d.byJob[j.Index]
	switch {
	case h == nil:
		return ""
	case h.unknownPool != "":
		return fmt.Sprintf("it needs units of the pool %s, which is not in the leader's settings", h.unknownPool)
	case !d.store.loaded:
		return "what operators have changed of pools is being read: no units are given out before"
	case d.allocationBlocked:
		return "a machine that has not reported yet may have units of any pool: none are given out before it is heard or gone"
	}
	r, ok := d.blockingRequirement(j, tasksPerStart(j))
	if ok {
		return ""
	}
	p := d.pools[r.pool]
	if p.drained {
		return fmt.Sprintf("it needs %d units of %s, which is drained", h.nextUnits(r), p.name)
	}
	if p.conf.HoldAfterLossS > 0 && d.lossesNotDurable() {
		return fmt.Sprintf("it needs %d units of %s; none go out before it is written which are lost", h.nextUnits(r), p.name)
	}
	return d.explainShortage(h, p, r)
}

// explainShortage returns an explanation of who has the units of a pool that a job waits for.
func (d *Component) explainShortage(h *holder, p *pool, r requirement) string {
	j := h.job
	var why strings.Builder
	fmt.Fprintf(&why, "it waits for units of %s: it needs %d, and %d of %d are out", p.name, h.nextUnits(r), p.inUse, p.size)
	if p.uncertain > 0 {
		fmt.Fprintf(&why, ", %d of them perhaps, on machines that have not reported yet", p.uncertain)
	}
	if p.lost > 0 {
		fmt.Fprintf(&why, ", %d of them for a while after the loss of a machine", p.lost)
	}
	if j.Priority < urgentPriority && p.conf.Reserve > 0 {
		fmt.Fprintf(&why, "; %d are for urgent jobs", p.conf.Reserve)
	}
	if t := p.teams[j.Team]; t != nil {
		fmt.Fprintf(&why, "; its team has %d of its %d", t.inUse, p.shares[j.Team])
	}
	for _, first := range []*holder{p.reservedFor, teamReservation(p, j)} {
		if first != nil && first != h {
			fmt.Fprintf(&why, "; job %s is before it in the order, and its next units are kept for it", jobID(first.job))
			break
		}
	}
	return why.String()
}

func teamReservation(p *pool, j *jobs.Job) *holder {
	if t := p.teams[j.Team]; t != nil {
		return t.reservedFor
	}
	return nil
}
