package registry

import (
	"time"

	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

// HTTP statuses with which a controller answers its worker's heartbeat.
const (
	statusOK          = 200
	statusMisdirected = 421 // the worker belongs to another controller's shard
	statusUnavailable = 503
)

const (
	// maxReplyDelay bounds how long an answer waits for entries to become durable. What is not
	// ready by then is sent with the answer to the machine's next heartbeat.
	maxReplyDelay = 500 * time.Millisecond

	// staleIntervals is the number of heartbeat intervals after which ignored heartbeats raise
	// the suspicion that the worker has lost its state.
	staleIntervals = 1.5
)

// pendingReply is the answer to a heartbeat that was applied. It waits for a scheduling cycle,
// or for entries that must be durable before the machine may start its tasks.
type pendingReply struct {
	request    effects.RequestID
	machine    *workers.Machine
	commands   []workers.Command
	since      time.Duration
	superseded bool // already answered because the machine has sent a newer heartbeat
}

// HandleHeartbeat applies a worker's status report, relayed by the controller that received it.
// The answer determines how that controller may answer the worker; it is emitted at once or
// after the next scheduling cycle.
func (c *Component) HandleHeartbeat(
	now time.Duration, leaseValid bool, request effects.RequestID, relayed effects.RelayedHeartbeat,
) {
	report := &relayed.Report
	m := c.Inventory.Find(report.Machine)
	difference := c.Reconciled.Count(c.reconcileReport(m, report))
	switch difference.Resolution() {
	case reconcile.Ignore:
		c.replyWithoutApplying(now, leaseValid, request, m, report)
		return
	case reconcile.Register:
		if m = c.AddMachine(now, machineEntry(report)); m == nil {
			c.Emit(effects.ReplyHeartbeat{To: request, Answer: effects.HeartbeatAnswer{Status: statusOK, Token: c.Token}})
			return
		}
		c.LogMessage(effects.Info, "machine of unknown rental registered", "machine", report.Machine)
	}
	m.Address = report.Address
	if !m.Durable && !m.Deleting {
		c.register(now, m, report)
	}
	c.supersedeReply(m)
	owner := c.assignShard(now, m, relayed)
	commands := c.applyReport(now, m, report, difference)
	if owner != "" {
		c.redirect(request, owner)
		return
	}
	if target := c.rebalanceTarget(now, leaseValid, m, report, commands); target != "" {
		// Nothing is in flight to the machine. Commands for it are sent with the answer to its
		// next heartbeat, through the other controller. The higher token makes the worker reject
		// the former controller.
		m.Token, m.Shard = c.NextToken(), target
		c.redirect(request, target)
		return
	}
	if c.lapses(now, leaseValid, m) {
		c.replyWithoutRenewal(request)
		return
	}
	if leaseValid && m.TakeTokenRequest(now) {
		m.Token = c.NextToken() // once the worker has seen it, no earlier push dispatch can start
	}
	c.replyWhenDurable(leaseValid, &pendingReply{request: request, machine: m, commands: commands, since: now})
}

// reconcileReport returns the difference between a machine's stored state and its report; m is
// nil if the machine is not in the inventory.
func (c *Component) reconcileReport(m *workers.Machine, report *workers.Report) reconcile.Diff {
	_, typeKnown := c.TypeNames.Lookup(report.Type)
	input := reconcile.Machine{
		Deleted:       c.Inventory.WasDeleted(report.Machine),
		TypeKnown:     typeKnown,
		Epoch:         c.Epoch,
		ReportSession: report.Session,
		ReportSeq:     report.Seq,
		ReportToken:   report.Token,
		ReportEpoch:   report.Token >> cluster.TokenBits,
	}
	if m != nil {
		input.Known = true
		input.Deleting = m.Deleting
		input.Session, input.Seq, input.Token = m.Session, m.Seq, m.Token
		input.HighestTokenSeen = m.HighestTokenSeen()
		input.SuspectBelow = m.SuspectBelow
	}
	return reconcile.Report(input)
}

// replyWithoutApplying answers a heartbeat whose report is ignored: the report is late, or its
// machine is deleted or of an unknown type. m is nil if the machine is not in the inventory.
func (c *Component) replyWithoutApplying(
	now time.Duration, leaseValid bool, request effects.RequestID, m *workers.Machine, report *workers.Report,
) {
	answer := effects.HeartbeatAnswer{Status: statusOK, Token: c.Token}
	if m != nil {
		m.CheckRestart(report)
		m.CheckStale(now, settings.Seconds(staleIntervals*c.Cfg.Deployment.Workers.ReportS))
		if leaseValid && m.TakeTokenRequest(now) {
			m.Token = c.NextToken()
		}
		// The answer reaches nobody, or a worker that has restarted and lost its state. Such a
		// worker must not get a token that an earlier process was given.
		answer.Token = m.Token
		if m.SuspectBelow != 0 && m.Token <= m.SuspectBelow {
			answer.Token = 0
		}
	}
	c.Emit(effects.ReplyHeartbeat{To: request, Answer: answer})
}

// supersedeReply answers a machine's earlier heartbeat if its answer is still pending. The
// worker has abandoned that request, so the answer must not start anything.
func (c *Component) supersedeReply(m *workers.Machine) {
	pending := c.pendingByMachine[m]
	if pending == nil {
		return
	}
	answer := effects.HeartbeatAnswer{Status: statusOK, Token: m.Token}
	c.Emit(effects.ReplyHeartbeat{To: pending.request, Answer: answer})
	pending.superseded = true
	delete(c.pendingByMachine, m)
}

// applyReport updates the machine and its tasks from a report and returns the resulting commands
// for the worker.
func (c *Component) applyReport(
	now time.Duration, m *workers.Machine, report *workers.Report, difference reconcile.Diff,
) []workers.Command {
	if !m.Up {
		m.UpSince = now
		c.NeedsCycle = true
	}
	if difference == reconcile.MachineRestarted {
		c.LogMessage(effects.Info, "worker restarted under its name", "machine", m.Name, "tasks", len(m.Tasks))
	}
	if difference.Resolution() == reconcile.ReleaseAll {
		c.publishLostOffers(now, m)
	}
	resolvedBefore := m.Resolved
	lookup := func(job uint64, task int, present bool) (workers.TaskRecord, bool) {
		return c.lookUpTask(m, job, task, present)
	}
	events, commands := m.ApplyStatus(now, report, m.Token, c.Reconciled, lookup)
	if m.Resolved != resolvedBefore {
		c.machineResolved(now, m)
	}
	for _, e := range events {
		c.applyTaskEvent(now, m, e)
	}
	c.cancelExcessPlans(m)
	c.Publish(cluster.Event{Kind: cluster.HeartbeatApplied, At: now, Machine: m, Report: report})
	return commands
}

// cancelExcessPlans cancels plans that no longer fit on a machine. Its controller may have
// started tasks there, from the offers of its shard, that were planned on other machines, while
// the leader allocated the same room again. On a day with seven controllers, one start in thirty
// was refused for lack of room, and each refusal kept its machine from work for two seconds.
func (c *Component) cancelExcessPlans(m *workers.Machine) {
	var none resources.Amounts
	if none.Fits(m.Free) {
		return
	}
	for _, p := range m.PlannedHere() {
		c.CancelPlan(p)
		if none.Fits(m.Free) {
			return
		}
	}
}

// rebalanceTarget returns the controller to which a machine's heartbeats move for load
// balancing, or an empty string if they stay. A machine moves only when nothing is in flight to
// it.
func (c *Component) rebalanceTarget(
	now time.Duration, leaseValid bool, m *workers.Machine, report *workers.Report, commands []workers.Command,
) string {
	if c.Rebalancer == nil || !leaseValid {
		return ""
	}
	registered := m.Durable && m.Resolved && !m.Deleting
	idle := report.Token == m.Token && len(commands) == 0
	if !registered || !idle || !m.Quiescent() {
		return ""
	}
	return c.Rebalancer.RedirectTo(now, m)
}

// redirect answers that the worker must report to the controller that holds its shard.
func (c *Component) redirect(request effects.RequestID, controller string) {
	answer := effects.HeartbeatAnswer{Status: statusMisdirected, Node: controller}
	c.Emit(effects.ReplyHeartbeat{To: request, Answer: answer})
}

// replyWhenDurable answers at once, unless the next scheduling cycle or an entry that becomes
// durable may add starts. In that case it keeps the answer for AnswerHeartbeats.
func (c *Component) replyWhenDurable(leaseValid bool, reply *pendingReply) {
	m := reply.machine
	mayStart := leaseValid && !m.Deleting && !m.PreemptionNotice
	if mayStart && (c.NeedsCycle || m.AwaitsDurability()) {
		c.pendingReplies = append(c.pendingReplies, reply)
		c.pendingByMachine[m] = reply
		return
	}
	c.sendReply(leaseValid, reply)
}

// sendReply answers a heartbeat with the resulting commands, the stops that are due and the
// offers of tasks to start.
func (c *Component) sendReply(leaseValid bool, reply *pendingReply) {
	m := reply.machine
	answer := effects.HeartbeatAnswer{
		Status:   statusOK,
		Token:    m.Token,
		LeaseS:   c.Cfg.Tunables.BlockLeaseS,
		Commands: append(reply.commands, m.DueStops()...),
	}
	if leaseValid && m.Durable && m.Resolved && !m.Deleting && !m.PreemptionNotice {
		answer.Offers = m.Offer(c.MachinesWithPlans, c.nextOfferSerial, c.NextAttempt)
		answer.Room = m.Free
	}
	c.Emit(effects.ReplyHeartbeat{To: reply.request, Answer: answer})
}

// nextOfferSerial returns a serial number that no other offer of any term has.
func (c *Component) nextOfferSerial() uint64 {
	c.lastOfferSerial++
	return c.Token + c.lastOfferSerial
}

// AnswerHeartbeats sends the pending answers that no longer have to wait for durable entries.
func (c *Component) AnswerHeartbeats(now time.Duration, leaseValid bool) {
	kept := c.pendingReplies[:0]
	for _, reply := range c.pendingReplies {
		if reply.superseded {
			continue
		}
		m := reply.machine
		if leaseValid && m.AwaitsDurability() && now-reply.since < maxReplyDelay && !m.Deleting {
			kept = append(kept, reply)
			continue
		}
		delete(c.pendingByMachine, m)
		c.sendReply(leaseValid, reply)
	}
	clear(c.pendingReplies[len(kept):])
	c.pendingReplies = kept
}

// End answers all pending heartbeats with an error status because the term is over; the workers
// retry.
func (c *Component) End() {
	for _, reply := range c.pendingReplies {
		if !reply.superseded {
			c.Emit(effects.ReplyHeartbeat{To: reply.request, Answer: effects.HeartbeatAnswer{Status: statusUnavailable}})
		}
	}
	c.pendingReplies = nil
}
