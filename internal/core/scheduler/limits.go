package scheduler

import "bitternmoor/internal/core/resources"

// Limit is what a team may use at any time; 0 means no limit.
type Limit struct{ CPU, GPU int64 }

// Covers says whether so much may be used at once.
func (l Limit) Covers(use resources.Amounts) bool {
	return (l.CPU == 0 || use.CPU <= l.CPU) && (l.GPU == 0 || use.GPU <= l.GPU)
}

// AddTeam adds a team without a limit.
func (p *Scheduler) AddTeam() {
	p.Limits = append(p.Limits, Limit{})
	p.teamUse = append(p.teamUse, resources.Amounts{})
}

// Charge counts a task against its team, Refund takes it back.
func (p *Scheduler) Charge(team int32, a resources.Amounts) {
	p.teamUse[team] = p.teamUse[team].Plus(a)
}

// Refund takes back what Charge counted.
func (p *Scheduler) Refund(team int32, a resources.Amounts) {
	p.teamUse[team] = p.teamUse[team].Minus(a)
}

// Use is what a team's tasks count as using.
func (p *Scheduler) Use(team int32) resources.Amounts { return p.teamUse[team] }

// Within says whether a team may use a more, with extra counted besides: an
// unresolved machine counts full against every team.
func (p *Scheduler) Within(team int32, a, extra resources.Amounts) bool {
	return p.Limits[team].Covers(p.teamUse[team].Plus(a).Plus(extra))
}
