// Package registry is the duty that looks after machines: it takes in what their
// workers report, settles in whose block each is, registers them before their
// first start, and gives up those that stay silent. It alone writes entries of
// machines.
package registry

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/reconcile"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/settings"
)

const (
	checkInterval     = 500 * time.Millisecond
	bootGracePeriod   = 20 * time.Second
	machineEntryBytes = 100 // rough size of an entry

	// moveAfter is how long a machine's own controller must not have heard it
	// before another one gets it.
	reassignAfter = 2 * time.Second

	// grantWait is how long an answer waits at most: the machine's next report
	// gets what this one did not.
	maxReplyDelay = 500 * time.Millisecond
)

// Component looks after the machines of a term.
type Component struct {
	cluster.NopComponent
	*cluster.State
	controllerIncarnations map[string]int64         // of the controllers that hold blocks
	controllerLastHeard    map[string]time.Duration // when they were last heard
	lastOfferSerial        uint64
	pendingReplies         []*pendingReply // reports not answered yet, in the order in which they came
	pendingByMachine       map[*workers.Machine]*pendingReply
	lastCheckAt            time.Duration
	zoneOutages            []zoneOutage // by zone
	zoneReachable          []bool       // by zone: whether it is heard well, where silent machines are asked

	replayedMachines map[string]eventlog.Machine // while the log is replayed
	replayedReturns  []returnRecord              // likewise
	returnsToRecord  []string                    // machines to be noted as empty and on their way out
}

// Name is that of the duty's own entries.
const Name = "roster"

// returnRecord notes in which term machines were to be returned on which nothing is
// any more, before they are deleted. The next term need not wait for them. It
// holds for that term alone: one in between may not have known of it, and have
// started tasks there.
type returnRecord struct {
	Epoch    uint64   `json:"e"`
	Machines []string `json:"m"`
}

// New makes the duty of a term.
func New(s *cluster.State) *Component {
	return &Component{State: s, controllerIncarnations: map[string]int64{}, controllerLastHeard: map[string]time.Duration{}, pendingByMachine: map[*workers.Machine]*pendingReply{}, replayedMachines: map[string]eventlog.Machine{}}
}

// Replay takes an entry of the log.
func (d *Component) Replay(_ time.Duration, e eventlog.Entry) {
	switch {
	case e.Machine != nil:
		d.replayedMachines[e.Machine.Name] = *e.Machine
	case e.DeletedMachines != nil:
		for _, n := range e.DeletedMachines {
			d.Inventory.Remove(n)
			delete(d.replayedMachines, n)
		}
	case e.Component != nil:
		var r returnRecord
		if err := json.Unmarshal(e.Component.Data, &r); err != nil {
			d.LogMessage(effects.Warn, "a note of machines that are returned cannot be read: they are waited for", "error", err)
			return
		}
		if r.Epoch == d.Epoch-1 {
			d.replayedReturns = append(d.replayedReturns, r)
		}
	}
}

// Begin enters the registered machines. What earlier terms left on them is not
// known before they report.
func (d *Component) Begin(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(d.replayedMachines)) {
		m := d.replayedMachines[name]
		if x := d.AddMachine(now, m); x != nil {
			x.Durable, x.Number = true, m.Number
			d.LastMachineNumber = max(d.LastMachineNumber, m.Number)
		}
	}
	for _, r := range d.replayedReturns {
		for _, name := range r.Machines {
			if m := d.Inventory.Find(name); m != nil {
				m.Resolved = true
				d.Decommission(now, m, cluster.Return, "not needed, as the term before has noted")
				d.returnsToRecord = append(d.returnsToRecord, name) // for the term after this one
			}
		}
	}
	d.replayedMachines, d.replayedReturns = nil, nil
}

// HandleEvent has a machine noted on which nothing is before it is deleted.
func (d *Component) HandleEvent(e cluster.Event) {
	if e.Kind == cluster.MachineReturnable && d.Cfg.Tunables.NoteReturns == 1 {
		e.Machine.ReturnUnrecorded = true
		d.returnsToRecord = append(d.returnsToRecord, e.Machine.Name)
	}
}

// AppendEntries notes machines that are to be returned.
func (d *Component) AppendEntries(time.Duration) {
	if len(d.returnsToRecord) == 0 {
		return
	}
	for _, part := range eventlog.SplitNames(d.returnsToRecord, d.EventLog.MaxEntryBytes()-2*eventlog.EntryBytes) {
		d.EventLog.AppendTracked(eventlog.NewComponentEntry(Name, returnRecord{d.Epoch, part}))
	}
	d.returnsToRecord = nil
}

// EntryDurable lets tasks start on a machine that is registered, and one be deleted
// that is noted as empty.
func (d *Component) EntryDurable(_ time.Duration, _ bool, e eventlog.Entry) {
	if e.Component != nil {
		var r returnRecord
		if json.Unmarshal(e.Component.Data, &r) == nil { // this term wrote it
			for _, name := range r.Machines {
				if m := d.Inventory.Find(name); m != nil {
					m.ReturnUnrecorded = false
				}
			}
		}
		return
	}
	if e.Machine == nil {
		return
	}
	if m := d.Inventory.Find(e.Machine.Name); m != nil {
		m.Durable = true
		d.NeedsCycle = true
	}
}

// Tick looks after every machine.
func (d *Component) Tick(now time.Duration, leaseValid bool) {
	if now-d.lastCheckAt >= checkInterval {
		d.lastCheckAt = now
		d.detectFailures(now, leaseValid)
	}
}

// LiveBytes is roughly how many bytes Keep would write for the whole log.
func (d *Component) LiveBytes() int { return len(d.Inventory.All()) * machineEntryBytes }

// Compact writes anew what is live of an entry.
func (d *Component) Compact(_ time.Duration, e eventlog.Entry) {
	if e.Machine != nil && d.Inventory.Find(e.Machine.Name) != nil {
		d.EventLog.Append(eventlog.Entry{Machine: e.Machine})
	}
}

// End has all reports that wait answered without anything.
func (d *Component) End() {
	for _, w := range d.pendingReplies {
		if !w.superseded {
			d.Emit(effects.ReplyHeartbeat{To: w.request, Answer: effects.HeartbeatAnswer{Status: 503}})
		}
	}
	d.pendingReplies = nil
}

// pendingReply is a report taken in whose answer waits for a pass, or for
// what must be durable before the machine may start its tasks.
type pendingReply struct {
	request    effects.RequestID
	machine    *workers.Machine
	commands   []workers.Command
	since      time.Duration
	superseded bool // answered, since the machine has reported again
}

// machineResolved notes that what an earlier term left on a machine is known.
func (d *Component) machineResolved(now time.Duration, m *workers.Machine) {
	d.NeedsCycle = true
	d.RemoveUnresolved(m)
	for id := range m.Grants {
		if j := d.Jobs.Find(id); j != nil && j.UnresolvedMachines > 0 {
			j.UnresolvedMachines--
		}
	}
	d.Publish(cluster.Event{Kind: cluster.MachineResolved, At: now, Machine: m})
	if n, _ := d.Unresolved(); n == 0 {
		d.LogMessage(effects.Info, "all machines resolved", "epoch", d.Epoch, "after", (now - d.TermBegan).Round(10*time.Millisecond))
	}
}

// assignShard settles in whose block the machine is that has reported by way of a
// controller. It returns the holder to which the worker must go instead.
func (d *Component) assignShard(now time.Duration, m *workers.Machine, in effects.RelayedHeartbeat) string {
	if life, ok := d.controllerIncarnations[in.Via]; ok && life != in.Life {
		// The controller began anew and has forgotten what it took up: what is
		// on offer by way of it must be settled before it is offered again.
		for _, o := range d.Inventory.All() {
			if o.Shard == in.Via {
				d.suspendOffers(o)
			}
		}
	}
	d.controllerIncarnations[in.Via] = in.Life
	d.controllerLastHeard[in.Via] = now
	switch {
	case m.Shard == in.Via:
		return ""
	case m.Shard != "" && now-m.LastHeartbeat < reassignAfter && now-d.controllerLastHeard[m.Shard] < reassignAfter:
		return m.Shard
	case m.Shard != "":
		d.suspendOffers(m)
		m.Token = d.NextToken() // the worker turns the former holder away
	}
	m.Shard = in.Via
	return ""
}

// suspendOffers keeps the tasks planned on a machine from being offered anew while
// an offer of them is open.
func (d *Component) suspendOffers(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned && len(p.Offered) > 0 {
			p.NotOfferedAgain = true
		}
	}
}

// HandleHeartbeat takes in a worker's report, received by a controller. The answer,
// which says how that controller may answer the worker, comes at once or with
// the pass that follows.
func (d *Component) HandleHeartbeat(now time.Duration, leaseValid bool, to effects.RequestID, in effects.RelayedHeartbeat) {
	r := &in.Report
	answer := effects.HeartbeatAnswer{Status: 200, Token: d.Token}
	rec := eventlog.Machine{Name: r.Machine, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	m := d.Inventory.Find(r.Machine)
	diff := d.Reconciled.Count(d.reconcileReport(m, r))
	switch diff.Resolution() {
	case reconcile.Ignore:
		if m != nil {
			m.CheckStale(now, settings.Seconds(1.5*d.Cfg.Deployment.Workers.ReportS))
			if leaseValid && m.NeedsToken(now) {
				m.Token = d.NextToken()
			}
			// The answer goes nowhere, or to a worker that has begun anew: that one must get
			// no token but such as nobody had before it.
			if answer.Token = m.Token; m.SuspectBelow == 0 || m.Token <= m.SuspectBelow {
				answer.Token = 0
			}
		}
		d.Emit(effects.ReplyHeartbeat{To: to, Answer: answer})
		return
	case reconcile.Register:
		if m = d.AddMachine(now, rec); m == nil {
			d.Emit(effects.ReplyHeartbeat{To: to, Answer: answer})
			return
		}
		d.LogMessage(effects.Info, "machine appeared unasked", "machine", r.Machine)
	}
	m.Address = r.Address
	if !m.Durable && !m.Deleting {
		m.Resolved = true // no task is ever started on a machine before it is registered
		rec.Number = d.LastMachineNumber + 1
		if !d.EventLog.Fits(eventlog.Entry{Machine: &rec}) {
			d.Decommission(now, m, cluster.Delete, "its names are too long to be stored")
		} else if m.QueueRegistry() {
			d.LastMachineNumber++
			m.Number = d.LastMachineNumber
			d.EventLog.AppendTracked(eventlog.Entry{Machine: &rec})
		}
	}
	if w := d.pendingByMachine[m]; w != nil {
		// The worker has given that one up: nothing may be started by it.
		d.Emit(effects.ReplyHeartbeat{To: w.request, Answer: effects.HeartbeatAnswer{Status: 200, Token: m.Token}})
		w.superseded = true
		delete(d.pendingByMachine, m)
	}
	elsewhere := d.assignShard(now, m, in)
	if !m.Up {
		m.UpSince = now
		d.NeedsCycle = true
	}
	if diff == reconcile.MachineRestarted {
		d.LogMessage(effects.Info, "machine has begun anew under its name", "machine", m.Name, "tasks", len(m.Tasks))
	}
	if diff.Resolution() == reconcile.Forget {
		d.publishLostOffers(now, m)
	}
	before := m.Resolved
	events, cmds := m.ApplyStatus(now, r, m.Token, d.Reconciled, func(job uint64, task int, here bool) (workers.TaskRecord, bool) {
		return d.taskRecord(m, job, task, here)
	})
	if m.Resolved != before {
		d.machineResolved(now, m)
	}
	for _, e := range events {
		d.applyTaskEvent(now, m, e)
	}
	d.cancelExcessPlans(m)
	d.Publish(cluster.Event{Kind: cluster.HeartbeatApplied, At: now, Machine: m, Report: r})
	if elsewhere != "" {
		d.Emit(effects.ReplyHeartbeat{To: to, Answer: effects.HeartbeatAnswer{Status: 421, Node: elsewhere}})
		return
	}
	if d.Rebalancer != nil && leaseValid && m.Durable && m.Resolved && !m.Deleting && r.Token == m.Token && len(cmds) == 0 && m.Settled() {
		if other := d.Rebalancer.RedirectTo(now, m); other != "" {
			// Nothing is on its way to it. What was its due comes with its next report,
			// by way of the other controller; the former one is turned away.
			m.Token, m.Shard = d.NextToken(), other
			d.Emit(effects.ReplyHeartbeat{To: to, Answer: effects.HeartbeatAnswer{Status: 421, Node: other}})
			return
		}
	}
	if leaseValid && m.NeedsToken(now) {
		m.Token = d.NextToken() // what was sent straight to the worker before cannot begin once it has seen this
	}
	w := &pendingReply{request: to, machine: m, commands: cmds, since: now}
	if leaseValid && !m.Deleting && !m.PreemptionNotice && (d.NeedsCycle || m.AwaitsDurability()) {
		d.pendingReplies = append(d.pendingReplies, w)
		d.pendingByMachine[m] = w
		return
	}
	d.sendReply(leaseValid, w)
}

// cancelExcessPlans takes back plans for which a machine has no room any more: its controller has
// started tasks there, out of the block's offers, that were planned on other machines, and
// meanwhile its room was given once more. Found on a day with seven controllers, where one
// start in thirty was refused for want of room, and each refusal kept its machine from work
// for two seconds.
func (d *Component) cancelExcessPlans(m *workers.Machine) {
	if (resources.Amounts{}).Fits(m.Free) {
		return
	}
	for _, p := range m.PlannedHere() {
		if d.CancelPlan(p); (resources.Amounts{}).Fits(m.Free) {
			return
		}
	}
}

// reconcileReport names the difference between a machine, nil if it is not entered, and its report.
func (d *Component) reconcileReport(m *workers.Machine, r *workers.Report) reconcile.Diff {
	_, typed := d.TypeNames.Lookup(r.Type)
	x := reconcile.Machine{Gone: d.Inventory.WasDeleted(r.Machine), Typed: typed, Epoch: d.Epoch,
		ReportSession: r.Session, ReportNumber: r.Seq, ReportToken: r.Token, ReportEpoch: r.Token >> cluster.TokenBits}
	if m != nil {
		x.Known, x.Leaving, x.Session, x.Number, x.Token, x.Seen, x.Doubt = true, m.Deleting, m.Session, m.Seq, m.Token, m.HighestTokenSeen(), m.SuspectBelow
	}
	return reconcile.Report(x)
}

// sendReply answers a report: with what follows from it, the stops that are due
// and the offers.
func (d *Component) sendReply(leaseValid bool, w *pendingReply) {
	m := w.machine
	answer := effects.HeartbeatAnswer{Status: 200, Token: m.Token, LeaseS: d.Cfg.Tunables.BlockLeaseS, Commands: append(w.commands, m.Stops()...)}
	if leaseValid && m.Durable && m.Resolved && !m.Deleting && !m.PreemptionNotice {
		answer.Offers = m.Offer(d.MachinesWithPlans, func() uint64 { d.lastOfferSerial++; return d.Token + d.lastOfferSerial }, d.NextAttempt)
		answer.Room = m.Free
	}
	d.Emit(effects.ReplyHeartbeat{To: w.request, Answer: answer})
}

// AnswerHeartbeats answers the reports that wait for nothing any more.
func (d *Component) AnswerHeartbeats(now time.Duration, leaseValid bool) {
	kept := d.pendingReplies[:0]
	for _, w := range d.pendingReplies {
		if w.superseded {
			continue
		}
		if leaseValid && w.machine.AwaitsDurability() && now-w.since < maxReplyDelay && !w.machine.Deleting {
			kept = append(kept, w)
			continue
		}
		delete(d.pendingByMachine, w.machine)
		d.sendReply(leaseValid, w)
	}
	clear(d.pendingReplies[len(kept):])
	d.pendingReplies = kept
}

// OffersStarted notes offers that the leader's own block has taken up.
func (d *Component) OffersStarted(now time.Duration, machine string, offers []workers.Offer) {
	m := d.Inventory.Find(machine)
	for _, o := range offers {
		if j := d.Jobs.Find(o.Start.Job); j != nil && m != nil {
			if m.TaskStarted(workers.Ref{Job: j.Index, Task: int32(o.Start.Task)}) {
				d.Publish(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: j, Task: o.Start.Task, Machine: m})
			}
		}
	}
}

// MachinesDeleted takes machines out that are gone, and all that was on them.
func (d *Component) MachinesDeleted(now time.Duration, list []string) {
	for _, name := range list {
		m := d.Inventory.Find(name)
		if m == nil {
			continue
		}
		d.publishLostOffers(now, m)
		for _, p := range m.CloseOffers() {
			d.applyTaskEvent(now, m, workers.Event{Kind: workers.EventOfferClosed, Ref: p.Ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		}
		for ref, p := range m.Tasks {
			if p.Planned && p.Rehome() {
				d.ListMachineWithPlans(p.Machine)
				p.Withdrawn = true // it may yet turn out to be on a machine it was offered to
				continue
			}
			ev := workers.Event{Kind: workers.EventGone, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Reason: workers.Vanished, Ran: -1, Running: p.Runs(), Died: true}
			m.RemovePlacement(ref)
			d.applyTaskEvent(now, m, ev)
		}
		d.Inventory.Remove(name)
		if m.Unresolved() {
			d.machineResolved(now, m)
		}
		d.Publish(cluster.Event{Kind: cluster.MachineProvedGone, At: now, Machine: m})
	}
	for _, part := range eventlog.SplitNames(list, d.EventLog.MaxEntryBytes()-eventlog.EntryBytes) {
		d.EventLog.Append(eventlog.Entry{DeletedMachines: part})
	}
	d.NeedsCycle = true
}
