package cluster

import (
	"time"

	"bitternmoor/internal/settings"
)

const (
	// minSilentMachines: fewer silent machines are no sign of anything but themselves, nor
	// fewer machines that are heard.
	minSilentMachines = 4
	// zoneSilenceDivisor: a zone is heard well if at most one in so many of its machines
	// is silent.
	zoneSilenceDivisor = 5

	suspectIntervals = 2.5 // heartbeats missed until a worker gets no new tasks
	giveUpIntervals  = 3   // heartbeats missed, at least, until a machine is given up
	giveUpSeconds    = 2   // beyond those heartbeats
	giveUpLeaseShare = 0.6 // share of a worker's lease, at least, until a machine is given up
)

// SuspectAfter is how long a worker may be silent before it gets no new tasks.
func (s *State) SuspectAfter() time.Duration {
	return settings.Seconds(suspectIntervals * s.Cfg.Deployment.Workers.ReportS)
}

// GiveUpAfter is how long a worker may be silent before its machine is given up.
func (s *State) GiveUpAfter() time.Duration {
	w := s.Cfg.Deployment.Workers
	return settings.Seconds(max(giveUpIntervals*w.ReportS+giveUpSeconds, giveUpLeaseShare*w.LeaseS))
}

// SilentByZone counts the machines that should be heard, and those of them that are
// silent, by index of the zone.
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

// MostMachinesSilent says whether most machines are silent at once, and the fault may be on
// the leader's side. Where a zone is heard well it is not: the others are cut off. Found at
// twice the size of a fleet with two zones, of which the larger one was cut off: its
// machines were waited for twice as long, and more were rented there.
func (s *State) MostMachinesSilent(now time.Duration) bool {
	up, silent := 0, 0
	upIn, silentIn := s.SilentByZone(now)
	for zone := range upIn {
		up += upIn[zone]
		silent += silentIn[zone]
		if upIn[zone] >= minSilentMachines && silentIn[zone]*zoneSilenceDivisor <= upIn[zone] {
			return false
		}
	}
	return MostSilent(silent, up)
}

// MostSilent says whether so many of the machines that should be heard are silent that the
// fault is not theirs.
func MostSilent(silent, up int) bool { return silent >= minSilentMachines && silent*2 > up }
