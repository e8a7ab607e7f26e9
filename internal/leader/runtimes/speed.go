package runtimes

import (
	"math"

	"bitternmoor/internal/leader/cluster"
)

const (
	minTasksForSpeed = 4   // of a machine, before it is known to be slow
	slowRatio        = 1.7 // times what was expected, from which on it is
	knownPerSlow     = 4   // machines; where more than one in so many is slow, none counts as slow
)

// machineSpeed is how slow a machine's tasks are, as a mean of logarithms.
type machineSpeed struct {
	n   int     // tasks
	log float64 // of the time that a task took next to the expected one
}

// observeSpeed notes how a machine's task went against what was expected, and
// reports whether the machine is known to be slow.
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

// isSlow reports whether a machine is far slower than the others: not when all of them
// are.
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
