package cluster

import (
	"bitternmoor/internal/settings"
	"time"
)

// fewSilent: fewer silent machines are no sign of anything but themselves, nor
// fewer heard ones.
// heardWell: a zone is if at most one in so many of its machines is silent.
const (
	minSilentMachines  = 4
	zoneSilenceDivisor = 5
)

// SuspectAfter is how long a worker may be silent before it gets no new tasks.
func (s *State) SuspectAfter() time.Duration {
	return settings.Seconds(2.5 * s.Cfg.Deployment.Workers.ReportS)
}

// GiveUpAfter is how long a worker may be silent before its machine is given up.
func (s *State) GiveUpAfter() time.Duration {
	w := s.Cfg.Deployment.Workers
	return settings.Seconds(max(3*w.ReportS+2, 0.6*w.LeaseS))
}

// SilentByZone counts the machines that should be heard, and those of them that are
// silent, by zone.
func (s *State) SilentByZone(now time.Duration) (up, silent []int) {
	up, silent = make([]int, s.Zones.Len()), make([]int, s.Zones.Len())
	for _, m := range s.Inventory.All() {
		if m.Up || m.Durable {
			up[m.Zone]++
			if now-max(m.LastHeartbeat, s.TermBegan) > s.SuspectAfter() {
				silent[m.Zone]++
			}
		}
	}
	return up, silent
}

// MostMachinesSilent says whether most machines are silent at once, and the fault may be on our
// side. Where a zone is heard well it is not: the others are cut off. Found at
// twice the size of a fleet with two zones, of which the larger one was cut: its
// machines were waited for twice as long, and more were rented there.
func (s *State) MostMachinesSilent(now time.Duration) bool {
	up, silent := 0, 0
	byZone, silentIn := s.SilentByZone(now)
	for z := range byZone {
		up += byZone[z]
		silent += silentIn[z]
		if byZone[z] >= minSilentMachines && silentIn[z]*zoneSilenceDivisor <= byZone[z] {
			return false
		}
	}
	return MostSilent(silent, up)
}

// MostSilent says whether so many of so many machines are silent that the fault is
// not theirs.
func MostSilent(silent, up int) bool { return silent >= minSilentMachines && silent*2 > up }
