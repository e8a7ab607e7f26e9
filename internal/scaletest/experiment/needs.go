package experiment

import "fmt"

// What an experiment may take at most, whatever the machine has.
const (
	MostWorkers   = 20_000
	MostProcesses = 300
)

// What each thing takes, measured roughly on runs of several sizes and rounded up.
const (
	bytesPerWorker     = 160 << 10 // connection, buffers, tasks
	bytesPerProcess    = 24 << 20  // a worker with a process of its own
	bytesPerController = 160 << 20
	bytesBase          = 200 << 20 // the state service, users, samples
	socketsPerWorker   = 4         // both ends of a report, its address, a direct command
	socketsBase        = 1000
	memoryShare        = 0.5 // of the machine's, that may be taken
)

// Needs is what a run takes of the machine.
type Needs struct {
	Workers, Processes, Sockets int
	Bytes                       uint64
	Seconds                     float64 // at least
}

// Needs says what a run with so many workers takes.
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

// Refuse says why a machine cannot carry this, or nothing.
func (n Needs) Refuse(memory uint64, sockets uint64) error {
	switch {
	case n.Processes > MostProcesses:
		return fmt.Errorf("%d processes are more than %d", n.Processes, MostProcesses)
	case float64(n.Bytes) > memoryShare*float64(memory):
		return fmt.Errorf("%d MiB are more than half of the machine's %d MiB", n.Bytes>>20, memory>>20)
	case uint64(n.Sockets) > sockets:
		return fmt.Errorf("%d sockets are more than the %d that a process may have", n.Sockets, sockets)
	}
	return nil
}
