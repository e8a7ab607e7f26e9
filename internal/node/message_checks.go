package node

import (
	"fmt"
	"math"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// What other controllers send is looked at before anything follows from it: a message that is
// malformed, too large, or of somebody who is no controller of this installation is refused
// and counted, and changes nothing. Before, a request of an unknown kind was taken for a
// cancellation, and a heartbeat of anybody sent users and workers there.

// reportMost bounds the tasks of a report: a worker's is at most 64 KiB.
const maxReportTasks = 4096

// countRefusal counts a message that is not taken.
func (n *Node) countRefusal(err error) error {
	if err != nil {
		n.refusedMessages.Add(1)
		n.log.Warn("message of another controller refused", "error", err)
	}
	return err
}

func (n *Node) checkUserRequest(in UserRequest) error {
	switch in.Op {
	case opQuery, opAbort:
		return nil
	case opSubmit:
	default:
		return fmt.Errorf("node: ask: op: %.20q is none", in.Op)
	}
	if in.Submission.ID != in.ID || !in.Submission.HasID {
		return fmt.Errorf("node: ask: submission: of job %d, and the request of %d", in.Submission.ID, in.ID)
	}
	if j := in.Submission.Job; j != nil {
		return checkJob(in.ID, j)
	}
	return nil
}

func checkJob(id uint64, j *eventlog.Job) error {
	switch {
	case j.ID != id:
		return fmt.Errorf("node: ask: job: %d, and the request of %d", j.ID, id)
	case j.Tasks < 1 || j.Tasks > wire.MaxTasks:
		return fmt.Errorf("node: ask: tasks: %d, not between 1 and %d", j.Tasks, wire.MaxTasks)
	case !wire.KnownKind(j.Kind) || !wire.KnownPriority(j.Priority):
		return fmt.Errorf("node: ask: kind %d or priority %d: there is none", j.Kind, j.Priority)
	}
	for _, name := range []string{j.Class, j.Team, j.Image, j.Zone} {
		if len(name) > wire.MaxName {
			return fmt.Errorf("node: ask: a name of %d bytes", len(name))
		}
	}
	for _, v := range []float64{j.CPUs, j.GPUs, j.MemoryGB, j.ImageGB, j.EstimateS, j.Checkpoint, j.SaveS} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return fmt.Errorf("node: ask: an amount of %v", v)
		}
	}
	return nil
}

func (n *Node) checkRelay(in effects.RelayedHeartbeat) error {
	r := &in.Report
	switch {
	case n.peers[in.Via] == nil:
		return fmt.Errorf("node: relay: via: %.20q is no controller", in.Via)
	case r.Machine == "" || len(r.Machine)+len(r.Address)+len(r.Type)+len(r.Zone) > wire.MaxBody:
		return fmt.Errorf("node: relay: machine: its name is missing, or more than a report may hold")
	case r.Session == 0:
		return fmt.Errorf("node: relay: session: of %.40q: 0", r.Machine)
	case len(r.Tasks) > maxReportTasks:
		return fmt.Errorf("node: relay: tasks: %d of %.40q", len(r.Tasks), r.Machine)
	}
	for _, t := range r.Tasks {
		if t.Task < 0 || t.Task >= wire.MaxTasks {
			return fmt.Errorf("node: relay: task: %d", t.Task)
		}
	}
	return nil
}

func (n *Node) checkConfig(u config.Update) error {
	if len(u.Sets) > config.MostItems {
		return fmt.Errorf("node: heartbeat: %d changes of the configuration", len(u.Sets))
	}
	for _, s := range u.Sets {
		if s.Revision <= u.From || s.Revision > u.To {
			return fmt.Errorf("node: heartbeat: %s of revision %d, told as of %d to %d", s.Item, s.Revision, u.From, u.To)
		}
	}
	return nil
}

func (n *Node) checkHeartbeat(in HeartbeatMessage) error {
	if n.peers[in.Node] == nil || in.Epoch == 0 {
		return fmt.Errorf("node: heartbeat: %.20q in epoch %d is no controller that leads", in.Node, in.Epoch)
	}
	return nil
}
