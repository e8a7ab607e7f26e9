package scheduler

import "bitternmoor/internal/core/resources"

// Limit is what a team may use at once, in thousandths of processors and of
// accelerators as in resources.Amounts; 0 means no limit.
type Limit struct{ CPU, GPU int64 }

// Covers reports whether that much may be used at once.
func (l Limit) Covers(use resources.Amounts) bool {
	return (l.CPU == 0 || use.CPU <= l.CPU) && (l.GPU == 0 || use.GPU <= l.GPU)
}

// AddTeam adds a team without a limit; its index is the next one.
func (s *Scheduler) AddTeam() {
	s.Limits = append(s.Limits, Limit{})
	s.teamUse = append(s.teamUse, resources.Amounts{})
}

// Charge counts what a placed task needs against its team.
func (s *Scheduler) Charge(team int32, need resources.Amounts) {
	s.teamUse[team] = s.teamUse[team].Plus(need)
}

// Refund takes back what Charge counted.
func (s *Scheduler) Refund(team int32, need resources.Amounts) {
	s.teamUse[team] = s.teamUse[team].Minus(need)
}

// TeamUse returns what a team's placed tasks need together.
func (s *Scheduler) TeamUse(team int32) resources.Amounts { return s.teamUse[team] }

// TeamMayUse reports whether a team may use need more while unresolved counts besides:
// a machine that is not resolved counts in full against every team that may have
// tasks there.
func (s *Scheduler) TeamMayUse(team int32, need, unresolved resources.Amounts) bool {
	return s.Limits[team].Covers(s.teamUse[team].Plus(need).Plus(unresolved))
}
