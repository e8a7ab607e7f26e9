package cluster

import (
	"time"

	"bitternmoor/internal/settings"
)

const (
	// minSilentMachines is the least number of silent machines from which a common fault is
	// inferred, and the least size of a zone whose heartbeats count as evidence against one.
	minSilentMachines = 4
	// zoneSilenceDivisor defines a reachable zone: at most one in zoneSilenceDivisor of its
	// machines is silent.
	zoneSilenceDivisor = 5

	suspectIntervals = 2.5 // missed heartbeats after which a worker gets no new tasks
	giveUpIntervals  = 3   // least number of missed heartbeats before a machine is considered lost
	giveUpSeconds    = 2   // added to the time of those heartbeats
	giveUpLeaseShare = 0.6 // least share of a worker's lease before a machine is considered lost
)

// SuspectAfter returns how long a worker may be silent before it gets no new tasks.
func (s *State) SuspectAfter() time.Duration {
	return settings.Seconds(suspectIntervals * s.Cfg.Deployment.Workers.ReportS)
}

// LostAfter returns how long a worker may be silent before its machine is considered lost.
func (s *State) LostAfter() time.Duration {
	w := s.Cfg.Deployment.Workers
	return settings.Seconds(max(giveUpIntervals*w.ReportS+giveUpSeconds, giveUpLeaseShare*w.LeaseS))
}

// SilentByZone counts, by zone index, the machines that should report and those of them that
// are silent.
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

// MostMachinesSilent reports whether most machines are silent at once, so that the fault may
// be on the leader's side. It is not if some zone is reachable: then the others are cut off.
// In a run at twice the usual size with two zones, of which the larger was cut off, the leader
// without this rule waited twice as long for that zone's machines and rented more there.
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

// MostSilent reports whether so many of the machines that should report are silent that a
// common fault is likelier than faults of the single machines.
func MostSilent(silent, up int) bool { return silent >= minSilentMachines && silent*2 > up }
