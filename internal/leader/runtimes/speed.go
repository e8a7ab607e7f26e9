package runtimes

import (
	"math"

	"bitternmoor/internal/leader/cluster"
)

const (
	minTasksForSpeed = 4   // minimum number of tasks before a machine can count as slow
	slowRatio        = 1.7 // mean ratio of actual to expected time from which a machine counts as slow
	minKnownPerSlow  = 4   // if more than one in this many known machines is slow, none counts as slow
)

// machineSpeed is the average slowness of a machine's tasks.
type machineSpeed struct {
	tasks   int     // number of tasks
	meanLog float64 // moving average of the logarithm of actual over expected task time
}

// observeSpeed updates a machine's speed with a finished task and reports whether the machine is known
// to be slow.
func (d *Component) observeSpeed(r *jobRun, e cluster.Event) bool {
	if r.estimate.Tasks == 0 || r.estimate.P50 <= 0 {
		return false
	}
	s := d.machineSpeeds[e.Machine.Name]
	if s == nil {
		s = &machineSpeed{}
		d.machineSpeeds[e.Machine.Name] = s
	}
	s.tasks++
	s.meanLog += (math.Log(e.RunSeconds/r.estimate.P50) - s.meanLog) / float64(min(s.tasks, 2*minTasksForSpeed))
	return d.isSlow(e.Machine.Name)
}

// isSlow reports whether a machine is known to be slow. It returns false if more than one in
// minKnownPerSlow known machines is slow, because then the work itself takes longer.
func (d *Component) isSlow(machine string) bool {
	s := d.machineSpeeds[machine]
	if s == nil || s.tasks < minTasksForSpeed || s.meanLog < math.Log(slowRatio) {
		return false
	}
	slow, known := 0, 0
	for _, o := range d.machineSpeeds {
		if o.tasks >= minTasksForSpeed {
			known++
			if o.meanLog >= math.Log(slowRatio) {
				slow++
			}
		}
	}
	return slow*minKnownPerSlow <= known
}
