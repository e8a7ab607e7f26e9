package node

import (
	"cmp"
	"slices"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/wire"
)

// Status is a snapshot of the service for operators. It describes one node and, on the leader, the
// whole service. Peers send it over net/rpc, and views encode it as JSON, so its field names and
// keys must not change.
type Status struct {
	Node     string          `json:"node"`
	Leader   string          `json:"leader"`
	Epoch    uint64          `json:"epoch"`  // highest one that the node has seen
	Sure     bool            `json:"sure"`   // the node leads with a valid lease
	Loaded   bool            `json:"loaded"` // the node leads and has read the event log
	Unsaved  int             `json:"entries_not_yet_durable"`
	Blocks   []BlockStatus   `json:"blocks,omitempty"`
	Machines []MachineStatus `json:"machines,omitempty"`
	Queue    []JobStatus     `json:"queue,omitempty"` // in scheduling order
	Held     []HeldStatus    `json:"held,omitempty"`
	Counts   cluster.Counts  `json:"counts"`
}

// BlockStatus describes one controller's shard of the machines.
type BlockStatus struct {
	Holder   string  `json:"holder"`
	Machines int     `json:"machines"`
	CPUs     float64 `json:"cpus"`
}

// MachineStatus describes one machine.
type MachineStatus struct {
	Name     string  `json:"name"`
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	State    string  `json:"state"`
	Holder   string  `json:"holder,omitempty"` // controller whose shard has the machine
	FreeCPUs float64 `json:"free_cpus"`
	Tasks    int     `json:"tasks"`
}

// JobStatus describes one unfinished job. Sizes are in seconds of work; Virtual is what is left of
// the job in the virtual cluster of the size estimator.
type JobStatus struct {
	ID       string  `json:"id"`
	Class    string  `json:"class"`
	Team     string  `json:"team"`
	Virtual  float64 `json:"virtual_size_s"`
	Size     float64 `json:"size_s"`
	Final    bool    `json:"size_is_final"`
	Waiting  int     `json:"waiting"`
	Placed   int     `json:"placed"`
	Finished int     `json:"finished"`
}

// HeldStatus describes a job that waits for its dependencies.
type HeldStatus struct {
	ID    string   `json:"id"`
	Class string   `json:"class"`
	Team  string   `json:"team"`
	Tasks int      `json:"tasks"`
	After []string `json:"after"` // IDs of its unfinished dependencies
}

// Status takes a snapshot of this node and, on the leader, of the whole service.
func (c *Core) Status(now time.Duration) Status {
	status := Status{
		Node:   c.settings.Node,
		Leader: c.elector.LeaderName(),
		Epoch:  c.elector.HighestEpoch(),
		Sure:   c.elector.LeaseValid(now),
		Counts: c.counts,
	}
	if c.term == nil || !c.term.Loaded() {
		return status
	}
	status.Loaded = true
	status.Unsaved = c.term.EventLog.PendingCount()
	status.Machines = machineStatuses(c.term)
	status.Blocks = shardStatuses(c.term)
	status.Queue = queueStatuses(c.term, now)
	status.Held = heldStatuses(c.term)
	return status
}

// machineStatuses lists the machines, sorted by name.
func machineStatuses(t *term.Term) []MachineStatus {
	var list []MachineStatus
	for _, m := range t.Inventory.All() {
		list = append(list, MachineStatus{
			Name:     m.Name,
			Type:     t.TypeNames.Name(m.Type),
			Zone:     t.Zones.Name(m.Zone),
			Spot:     m.Spot,
			State:    machineState(m),
			Holder:   m.Shard,
			FreeCPUs: m.Free.CPUs(),
			Tasks:    len(m.Tasks),
		})
	}
	slices.SortFunc(list, func(a, b MachineStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// machineState returns the description of a machine's state that views show.
func machineState(m *workers.Machine) string {
	switch {
	case m.Deleting:
		return "leaving: " + m.DeletionReason
	case m.PreemptionNotice:
		return "to be taken by the cloud"
	case !m.Up && m.Durable:
		return "not heard in this term"
	case !m.Up:
		return "booting"
	case !m.Resolved:
		return "not resolved"
	case m.Draining:
		return "draining"
	case m.Reserved:
		return "room held"
	}
	return "up"
}

// shardStatuses sums the machines of each controller's shard, sorted by the controller's name.
func shardStatuses(t *term.Term) []BlockStatus {
	byHolder := map[string]*BlockStatus{}
	for _, m := range t.Inventory.All() {
		if m.Shard == "" {
			continue
		}
		shard := byHolder[m.Shard]
		if shard == nil {
			shard = &BlockStatus{Holder: m.Shard}
			byHolder[m.Shard] = shard
		}
		shard.Machines++
		shard.CPUs += m.Capacity.CPUs()
	}
	var list []BlockStatus
	for _, shard := range byHolder {
		list = append(list, *shard)
	}
	slices.SortFunc(list, func(a, b BlockStatus) int { return cmp.Compare(a.Holder, b.Holder) })
	return list
}

// queueStatuses lists the unfinished jobs in scheduling order.
func queueStatuses(t *term.Term, now time.Duration) []JobStatus {
	var list []JobStatus
	snapshot := t.Snapshot(now)
	for _, index := range t.Scheduler.JobOrder(&snapshot) {
		list = append(list, jobStatus(t, t.Jobs.ByIndex(index)))
	}
	return list
}

func jobStatus(t *term.Term, j *jobs.Job) JobStatus {
	size, final := t.Estimator.Size(j.Index)
	return JobStatus{
		ID:       wire.FormatID(j.Record.ID),
		Class:    j.Record.Class,
		Team:     j.Record.Team,
		Virtual:  t.Estimator.VirtualSize(j.Index),
		Size:     size,
		Final:    final,
		Waiting:  j.Waiting,
		Placed:   j.Placed,
		Finished: j.Finished,
	}
}

// heldStatuses lists the jobs that wait for their dependencies, sorted by ID.
func heldStatuses(t *term.Term) []HeldStatus {
	var list []HeldStatus
	for _, j := range t.Jobs.All() {
		if j == nil || j.Phase != jobs.Held {
			continue
		}
		list = append(list, HeldStatus{
			ID:    wire.FormatID(j.Record.ID),
			Class: j.Record.Class,
			Team:  j.Record.Team,
			Tasks: len(j.Tasks),
			After: jobIDs(t, j.Dependencies),
		})
	}
	slices.SortFunc(list, func(a, b HeldStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// jobIDs returns the sorted IDs of the jobs with the given indices.
func jobIDs(t *term.Term, indices []int32) []string {
	var list []string
	for _, index := range indices {
		list = append(list, wire.FormatID(t.Jobs.ByIndex(index).Record.ID))
	}
	slices.Sort(list)
	return list
}
