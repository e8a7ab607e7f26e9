package scalerun

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"time"

	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/scaletest/traffic"
)

// NodeSample is the resource usage and traffic of one controller so far.
type NodeSample struct {
	Name    string        `json:"name"`
	PID     int           `json:"pid"` // 0: the controller is down
	Leads   bool          `json:"leads"`
	Usage   Usage         `json:"usage"`
	Workers traffic.Count `json:"workers"` // Workers to Cloud: traffic with each, as the controller sees it
	Users   traffic.Count `json:"users"`
	Peers   traffic.Count `json:"peers"`
	State   traffic.Count `json:"state"`
	Cloud   traffic.Count `json:"cloud"`
}

func (n *NodeSample) traffic() traffic.Count {
	return n.Workers.Plus(n.Users).Plus(n.Peers).Plus(n.State).Plus(n.Cloud)
}

// WorkerSample is the resource usage and traffic of one worker's process so far.
type WorkerSample struct {
	Machine string        `json:"machine"`
	Usage   Usage         `json:"usage"`
	Traffic traffic.Count `json:"traffic"`
}

// Sample is a measurement of all parts of a run. Processor times and traffic are totals since the
// beginning of the run.
type Sample struct {
	Size     int                 `json:"size"`
	Seed     uint64              `json:"seed"`
	AtS      float64             `json:"at_s"` // seconds since the beginning of the load
	Phase    string              `json:"phase"`
	Measured bool                `json:"measured"` // whether it belongs to the measured part of its phase
	Leader   string              `json:"leader"`
	Nodes    []NodeSample        `json:"nodes"`
	State    Usage               `json:"state_process"`
	Counts   standin.StateCounts `json:"state"`
	Workers  []WorkerSample      `json:"worker_processes"`
	Hollow   traffic.Count       `json:"hollow"`  // traffic of all hollow workers
	Run      Usage               `json:"run"`     // the process with hollow workers, users and cloud
	Up       int                 `json:"workers"` // hollow workers that are up
	Running  int                 `json:"running"` // tasks that run now
	Starts   uint64              `json:"starts"`  // task starts so far
	Ended    uint64              `json:"ended"`   // task ends so far
}

// swapDirections returns the traffic as the other end sees it.
func swapDirections(c traffic.Count) traffic.Count {
	return traffic.Count{In: c.Out, Out: c.In, Messages: c.Messages}
}

// sample measures all parts of the run.
func (w *testbed) sample(begin time.Time, phase string, measured bool) Sample {
	s := Sample{Size: w.size, Seed: w.seed, AtS: time.Since(begin).Seconds(), Phase: phase, Measured: measured, Up: w.fleet.Workers(), Running: w.fleet.Running()}
	s.Starts, s.Ended = w.latency.counts()
	if o, err := w.observe(); err == nil {
		s.Leader, s.Counts = o.Leader, o.Counts
	}
	for i, c := range w.controllers {
		n := NodeSample{Name: c.name, Leads: c.name == s.Leader, Workers: swapDirections(c.reports.Read()), Users: swapDirections(c.client.traffic.Read()), State: c.state.traffic.Read(), Cloud: c.cloud.traffic.Read()}
		n.Usage, n.PID, _ = c.usage()
		for k, l := range c.peers {
			if l != nil {
				n.Peers = n.Peers.Plus(l.traffic.Read()).Plus(swapDirections(w.controllers[k].peers[i].traffic.Read()))
			}
		}
		s.Hollow = s.Hollow.Plus(c.reports.Read())
		s.Nodes = append(s.Nodes, n)
	}
	s.Hollow = s.Hollow.Plus(w.fleet.Direct.Read())
	s.State, _ = usageOf(w.state.cmd.Process.Pid)
	s.Run, _ = usageOf(os.Getpid())
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range slices.Sorted(maps.Keys(w.workerProcesses)) {
		r := w.workerProcesses[machine]
		if u, ok := usageOf(r.process.cmd.Process.Pid); ok {
			r.mu.Lock()
			s.Workers = append(s.Workers, WorkerSample{machine, u, r.last})
			r.mu.Unlock()
		}
	}
	return s
}

// writeSample writes a sample as a JSON line if the options ask for samples.
func (w *testbed) writeSample(s Sample) error {
	if w.options.Samples == nil {
		return nil
	}
	return json.NewEncoder(w.options.Samples).Encode(s)
}
