package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/leader/term"
	"bitternmoor/internal/wire"
)

// Status is what operators may see of the service.
type Status struct {
	Node     string          `json:"node"`
	Leader   string          `json:"leader"`
	Epoch    uint64          `json:"epoch"`
	Sure     bool            `json:"sure"`
	Loaded   bool            `json:"loaded"`
	Unsaved  int             `json:"entries_not_yet_durable"`
	Blocks   []BlockStatus   `json:"blocks,omitempty"`
	Machines []MachineStatus `json:"machines,omitempty"`
	Queue    []JobStatus     `json:"queue,omitempty"`
	Held     []HeldStatus    `json:"held,omitempty"`
	Counts   cluster.Counts  `json:"counts"`
}

// BlockStatus is one controller's block.
type BlockStatus struct {
	Holder   string  `json:"holder"`
	Machines int     `json:"machines"`
	CPUs     float64 `json:"cpus"`
}

// MachineStatus is one machine.
type MachineStatus struct {
	Name     string  `json:"name"`
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	State    string  `json:"state"`
	Holder   string  `json:"holder,omitempty"`
	FreeCPUs float64 `json:"free_cpus"`
	Tasks    int     `json:"tasks"`
}

// JobStatus is one unfinished job, in the order in which room is given.
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

// HeldStatus is a job that waits for others to be done.
type HeldStatus struct {
	ID    string   `json:"id"`
	Class string   `json:"class"`
	Team  string   `json:"team"`
	Tasks int      `json:"tasks"`
	After []string `json:"after"`
}

func machineState(m *workers.Machine) string {
	switch {
	case m.Deleting:
		return "leaving: " + m.Why
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

// Status gives a picture of the node and, on the leader, of everything.
func (c *Core) Status(now time.Duration) Status {
	s := Status{Node: c.settings.Node, Leader: c.elector.LeaderName(), Epoch: c.elector.HighestEpoch(), Sure: c.elector.LeaseValid(now), Counts: c.counts}
	t := c.term
	if t == nil || !t.Loaded() {
		return s
	}
	s.Loaded, s.Unsaved = true, t.EventLog.Pending()
	byHolder := map[string]*BlockStatus{}
	for _, m := range t.Inventory.All() {
		s.Machines = append(s.Machines, MachineStatus{Name: m.Name, Type: t.TypeNames.Name(m.Type), Zone: t.Zones.Name(m.Zone), Spot: m.Spot,
			State: machineState(m), Holder: m.Shard, FreeCPUs: m.Free.CPUs(), Tasks: len(m.Tasks)})
		if m.Shard == "" {
			continue
		}
		b := byHolder[m.Shard]
		if b == nil {
			b = &BlockStatus{Holder: m.Shard}
			byHolder[m.Shard] = b
		}
		b.Machines++
		b.CPUs += m.Cap.CPUs()
	}
	for _, b := range byHolder {
		s.Blocks = append(s.Blocks, *b)
	}
	slices.SortFunc(s.Blocks, func(a, b BlockStatus) int { return compare(a.Holder, b.Holder) })
	slices.SortFunc(s.Machines, func(a, b MachineStatus) int { return compare(a.Name, b.Name) })
	w := t.Snapshot(now)
	for _, i := range t.Scheduler.JobOrder(&w) {
		s.Queue = append(s.Queue, jobStatus(t, t.Jobs.At(i)))
	}
	for _, j := range t.Jobs.All() {
		if j != nil && j.Phase == jobs.Held {
			s.Held = append(s.Held, HeldStatus{ID: wire.FormatID(j.Record.ID), Class: j.Record.Class, Team: j.Record.Team, Tasks: len(j.Tasks), After: jobIDs(t, j.Dependencies)})
		}
	}
	slices.SortFunc(s.Held, func(a, b HeldStatus) int { return compare(a.ID, b.ID) })
	return s
}

// jobIDs are the ids of jobs by index, in order.
func jobIDs(t *term.Term, list []int32) []string {
	var out []string
	for _, i := range list {
		out = append(out, wire.FormatID(t.Jobs.At(i).Record.ID))
	}
	slices.Sort(out)
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func jobStatus(t *term.Term, j *jobs.Job) JobStatus {
	size, final := t.Estimator.Size(j.Index)
	return JobStatus{ID: wire.FormatID(j.Record.ID), Class: j.Record.Class, Team: j.Record.Team, Virtual: t.Estimator.Virtual(j.Index), Size: size, Final: final,
		Waiting: j.Waiting, Placed: j.Placed, Finished: j.Finished}
}

// Explanation says in plain words where a job stands and what it waits for.
type Explanation struct {
	ID    string     `json:"id"`
	Job   *JobStatus `json:"job,omitempty"`
	Place int        `json:"place,omitempty"`
	Words []string   `json:"words"`
}

// Explain explains a job; ok is false on a node that cannot tell.
func (c *Core) Explain(now time.Duration, id uint64) (e Explanation, ok bool) {
	t := c.term
	if t == nil || !t.Loaded() {
		return Explanation{}, false
	}
	e.ID = wire.FormatID(id)
	say := func(f string, a ...any) { e.Words = append(e.Words, fmt.Sprintf(f, a...)) }
	if p, over := t.Jobs.Final(id); over {
		say("it is %s", map[jobs.Phase]string{jobs.Done: "done", jobs.Cancelled: "cancelled"}[p])
		return e, true
	}
	j := t.Jobs.Find(id)
	if j == nil {
		say("no such job was accepted")
		return e, true
	}
	js := jobStatus(t, j)
	e.Job = &js
	w := t.Snapshot(now)
	for n, i := range t.Scheduler.JobOrder(&w) {
		if i == j.Index {
			e.Place = n + 1
		}
	}
	if len(j.Dependents) > 0 {
		say("jobs that wait for it: %s", strings.Join(jobIDs(t, j.Dependents), ", "))
	}
	if j.Priority > j.Record.Priority {
		say("it has taken the priority of a job that needs it: %s instead of %s (exception follow_urgency)", wire.PriorityWord(j.Priority), wire.PriorityWord(j.Record.Priority))
	}
	if j.Phase == jobs.Held {
		if len(j.Dependencies) == 0 {
			say("what it follows is not in the log any more: it is not started, and waits to be cancelled")
			return e, true
		}
		say("it waits for %d of the %d jobs that it follows: %s", len(j.Dependencies), len(j.Record.Follows), strings.Join(jobIDs(t, j.Dependencies), ", "))
		say("until they are done it is outside the order and holds nothing of its team's share")
		return e, true
	}
	if n := len(j.Record.Follows); n > 0 {
		say("the %d jobs that it follows are done; its times count from then", n)
	}
	if j.Phase == jobs.Cancelling {
		say("its user has asked to cancel it %.0f s ago, and is told so once nothing of it is left anywhere: %d tasks are not proved gone, %d machines that may have some were not heard", (now - j.CancelAskedAt).Seconds(), j.Placed, j.UnresolvedMachines)
		return e, true
	}
	say("%d of its %d tasks are done, %d have a place, %d wait", j.Finished, len(j.Tasks), j.Placed, j.Waiting)
	switch {
	case j.Record.Kind == jobs.Service:
		say("it is a service: it gets room first, outside the order")
	case j.Record.Kind == jobs.Gang:
		say("it is a gang: it starts when all of its tasks fit; its size is an estimate of %.0f s of work", js.Size)
	case js.Final && js.Size == 0 && j.Finished == 0:
		say("it has fewer tasks than train a size: it counts as tiny, with size 0")
	case js.Final:
		say("its size was set by its training tasks: %.0f s of work, of which %.0f s are left in the virtual cluster", js.Size, js.Virtual)
	default:
		say("its training tasks have not told its size yet: it starts at %.0f s of work", js.Size)
	}
	if e.Place > 0 {
		say("it is number %d in the order", e.Place)
	}
	for _, why := range t.Scheduler.Explain(w, j) {
		say("%s", why)
	}
	return e, true
}
