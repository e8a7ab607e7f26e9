package runtimes

import (
	"math"

	"bitternmoor/internal/leader/cluster"
)

// machineSpeed is how slow a machine's tasks are, as a mean of logarithms.
type machineSpeed struct {
	n   int
	log float64
}

// observeSpeed notes how a machine's task went against what was expected, and says
// whether the machine is known to be slow.
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

// isSlow says whether a machine is far slower than the others: not when all of
// them are.
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
	return slow*4 <= known
}
