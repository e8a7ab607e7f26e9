package node

import (
	"fmt"
	"math"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/wire"
)

// Messages from other controllers are validated before use. A message that is malformed, too large
// or not from a controller of this installation is rejected and counted, and changes no state.
// Without these checks, a request of an unknown kind was handled as a cancellation, and a heartbeat
// from any sender redirected users and workers to that sender.

// maxReportTasks limits the tasks in a relayed report. A worker's own report is at most 64 KiB.
const maxReportTasks = 4096

// countRejection counts and logs a message that failed validation with err, and returns err.
func (n *Node) countRejection(err error) error {
	if err != nil {
		n.rejectedMessages.Add(1)
		n.log.Warn("peer message rejected", "error", err)
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
	if job := in.Submission.Job; job != nil {
		return checkJob(in.ID, job)
	}
	return nil
}

func checkJob(id uint64, job *eventlog.Job) error {
	switch {
	case job.ID != id:
		return fmt.Errorf("node: ask: job: %d, and the request of %d", job.ID, id)
	case job.Tasks < 1 || job.Tasks > wire.MaxTasks:
		return fmt.Errorf("node: ask: tasks: %d, not between 1 and %d", job.Tasks, wire.MaxTasks)
	case !wire.KnownKind(job.Kind) || !wire.KnownPriority(job.Priority):
		return fmt.Errorf("node: ask: kind %d or priority %d: there is none", job.Kind, job.Priority)
	}
	for _, name := range []string{job.Class, job.Team, job.Image, job.Zone} {
		if len(name) > wire.MaxName {
			return fmt.Errorf("node: ask: a name of %d bytes", len(name))
		}
	}
	amounts := []float64{
		job.CPUs, job.GPUs, job.MemoryGB, job.ImageGB, job.EstimateS, job.Checkpoint, job.SaveS,
	}
	for _, amount := range amounts {
		// "amount < 0" would be false for NaN.
		if !(amount >= 0) || math.IsInf(amount, 0) {
			return fmt.Errorf("node: ask: an amount of %v", amount)
		}
	}
	return nil
}

func (n *Node) checkRelayedHeartbeat(in effects.RelayedHeartbeat) error {
	report := &in.Report
	names := len(report.Machine) + len(report.Address) + len(report.Type) + len(report.Zone)
	switch {
	case n.peers[in.Via] == nil:
		return fmt.Errorf("node: relay: via: %.20q is no controller", in.Via)
	case report.Machine == "" || names > wire.MaxBody:
		return fmt.Errorf("node: relay: machine: its name is missing, or more than a report may hold")
	case report.Session == 0:
		return fmt.Errorf("node: relay: session: of %.40q: 0", report.Machine)
	case len(report.Tasks) > maxReportTasks:
		return fmt.Errorf("node: relay: tasks: %d of %.40q", len(report.Tasks), report.Machine)
	}
	for _, task := range report.Tasks {
		if task.Task < 0 || task.Task >= wire.MaxTasks {
			return fmt.Errorf("node: relay: task: %d", task.Task)
		}
	}
	return nil
}

func (n *Node) checkConfig(update config.Update) error {
	if len(update.Sets) > config.MaxItems {
		return fmt.Errorf("node: heartbeat: %d changes of the configuration", len(update.Sets))
	}
	for _, change := range update.Sets {
		if change.Revision <= update.From || change.Revision > update.To {
			return fmt.Errorf("node: heartbeat: %s of revision %d, told as of %d to %d",
				change.Item, change.Revision, update.From, update.To)
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
