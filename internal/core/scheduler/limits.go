package scheduler

import "bitternmoor/internal/core/resources"

// Limit is the number of processors and accelerators that a team may use at once, in thousandths
// as in resources.Amounts; 0 means no limit.
type Limit struct{ CPU, GPU int64 }

// Covers reports whether the limit allows this use.
func (l Limit) Covers(use resources.Amounts) bool {
	return (l.CPU == 0 || use.CPU <= l.CPU) && (l.GPU == 0 || use.GPU <= l.GPU)
}

// AddTeam adds a team without a limit, with the next free index.
func (s *Scheduler) AddTeam() {
	s.Limits = append(s.Limits, Limit{})
	s.teamUse = append(s.teamUse, resources.Amounts{})
}

// Charge adds the need of a placed task to its team's use.
func (s *Scheduler) Charge(team int32, need resources.Amounts) {
	s.teamUse[team] = s.teamUse[team].Plus(need)
}

// Refund reverses Charge.
func (s *Scheduler) Refund(team int32, need resources.Amounts) {
	s.teamUse[team] = s.teamUse[team].Minus(need)
}

// TeamUse returns the sum of the needs of a team's placed tasks.
func (s *Scheduler) TeamUse(team int32) resources.Amounts { return s.teamUse[team] }

// TeamMayUse reports whether a team stays within its limit if it uses need more and unresolved is
// counted as used too. An unresolved machine, whose tasks from earlier terms are not known yet,
// counts in full against every team that may have tasks there.
func (s *Scheduler) TeamMayUse(team int32, need, unresolved resources.Amounts) bool {
	return s.Limits[team].Covers(s.teamUse[team].Plus(need).Plus(unresolved))
}
