package experiment

import "fmt"

// Limits of an experiment, whatever the machine's resources are.
const (
	MaxWorkers   = 20_000
	MaxProcesses = 300
)

// Resource estimates: rough measurements on runs of several sizes, rounded up.
const (
	bytesPerWorker     = 160 << 10 // connection, buffers, tasks
	bytesPerProcess    = 24 << 20  // a worker that has its own process
	bytesPerController = 160 << 20
	bytesBase          = 200 << 20 // the state service, users, samples
	socketsPerWorker   = 4         // both ends of a report's connection, the worker's listener, a direct command
	socketsBase        = 1000
	memoryShare        = 0.5 // share of the machine's memory that a run may use
)

// Needs is an estimate of the resources that a run uses.
type Needs struct {
	Workers, Processes, Sockets int
	Bytes                       uint64
	Seconds                     float64 // lower bound of the duration
}

// Needs estimates the resources of a run with the given number of workers.
func (e *Experiment) Needs(workers int) Needs {
	n := Needs{Workers: workers, Processes: 2 + e.Controllers.Count + min(e.Workers.Processes, workers), Sockets: socketsBase + workers*socketsPerWorker}
	n.Bytes = bytesBase + uint64(workers)*bytesPerWorker + uint64(e.Controllers.Count)*bytesPerController + uint64(e.Workers.Processes)*bytesPerProcess
	for _, p := range e.Phases {
		n.Seconds += p.SettleS + p.MeasureS
	}
	return n
}

func (n Needs) String() string {
	return fmt.Sprintf("%d workers: %d processes, %d sockets, about %d MiB of memory, %.0f s and the time until all jobs are over", n.Workers, n.Processes, n.Sockets, n.Bytes>>20, n.Seconds)
}

// CheckLimits returns an error if the run needs more than MaxProcesses processes, more than memoryShare of
// the given memory in bytes, or more than the given number of sockets.
func (n Needs) CheckLimits(memory uint64, sockets uint64) error {
	switch {
	case n.Processes > MaxProcesses:
		return fmt.Errorf("needs %d processes, more than the limit of %d", n.Processes, MaxProcesses)
	case float64(n.Bytes) > memoryShare*float64(memory):
		return fmt.Errorf("needs %d MiB of memory, more than half of the machine's %d MiB", n.Bytes>>20, memory>>20)
	case uint64(n.Sockets) > sockets:
		return fmt.Errorf("needs %d sockets, more than the %d that a process may open", n.Sockets, sockets)
	}
	return nil
}
