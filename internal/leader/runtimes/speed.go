package runtimes

import (
	"math"

	"bitternmoor/internal/leader/cluster"
)

const (
	minTasksForSpeed = 4   // minimum number of tasks before a machine can count as slow
	slowRatio        = 1.7 // mean ratio of actual to expected time from which a machine counts as slow
	knownPerSlow     = 4   // if more than one in this many known machines is slow, none counts as slow
)

// machineSpeed is the average slowness of a machine's tasks.
type machineSpeed struct {
	n   int     // number of tasks
	log float64 // moving average of the logarithm of actual over expected task time
}

// observeSpeed updates a machine's speed with a finished task and reports whether the machine is known
// to be slow.
func (d *Component) observeSpeed(r *jobRun, e cluster.Event) bool {
	if r.est.Tasks == 0 || r.est.P50 <= 0 {
		return false
	}
	s := d.machineSpeeds[e.Machine.Name]
	if s == nil {
		s = &machineSpeed{}
		d.machineSpeeds[e.Machine.Name] = s
	}
	s.n++
	s.log += (math.Log(e.RunSeconds/r.est.P50) - s.log) / float64(min(s.n, 2*minTasksForSpeed))
	return d.isSlow(e.Machine.Name)
}

// isSlow reports whether a machine is known to be slow. It returns false if more than one in
// knownPerSlow known machines are slow, because then the work itself takes longer.
func (d *Component) isSlow(machine string) bool {
	s := d.machineSpeeds[machine]
	if s == nil || s.n < minTasksForSpeed || s.log < math.Log(slowRatio) {
		return false
	}
	slow, known := 0, 0
	for _, o := range d.machineSpeeds {
		if o.n >= minTasksForSpeed {
			known++
			if o.log >= math.Log(slowRatio) {
				slow++
			}
		}
	}
	return slow*knownPerSlow <= known
}
