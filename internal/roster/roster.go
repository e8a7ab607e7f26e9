// Package roster is the duty that looks after machines: it takes in what their
// workers report, settles in whose block each is, registers them before their
// first start, and gives up those that stay silent. It alone writes entries of
// machines.
package roster

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/cluster"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/squaring"
	"bitternmoor/internal/workers"
)

const (
	watchEvery   = 500 * time.Millisecond
	bootSlack    = 20 * time.Second
	machineBytes = 100 // rough size of an entry

	// moveAfter is how long a machine's own controller must not have heard it
	// before another one gets it.
	moveAfter = 2 * time.Second

	// grantWait is how long an answer waits at most: the machine's next report
	// gets what this one did not.
	grantWait = 500 * time.Millisecond
)

// Duty looks after the machines of a term.
type Duty struct {
	cluster.Plain
	*cluster.State
	lives     map[string]int64         // of the controllers that hold blocks
	seen      map[string]time.Duration // when they were last heard
	serials   uint64
	waiting   []*waitingReport // reports not answered yet, in the order in which they came
	waits     map[*workers.Machine]*waitingReport
	watchedAt time.Duration
	cuts      []cutZone // by zone
	well      []bool    // by zone: whether it is heard well, where silent machines are asked

	registry map[string]ledger.Machine // while the log is replayed
	last     []returns                 // likewise
	empty    []string                  // machines to be noted as empty and on their way out
}

// Name is that of the duty's own entries.
const Name = "roster"

// returns notes in which term machines were to be returned on which nothing is
// any more, before they are deleted. The next term need not wait for them. It
// holds for that term alone: one in between may not have known of it, and have
// started tasks there.
type returns struct {
	Epoch    uint64   `json:"e"`
	Machines []string `json:"m"`
}

// New makes the duty of a term.
func New(s *cluster.State) *Duty {
	return &Duty{State: s, lives: map[string]int64{}, seen: map[string]time.Duration{}, waits: map[*workers.Machine]*waitingReport{}, registry: map[string]ledger.Machine{}}
}

// Replay takes an entry of the log.
func (d *Duty) Replay(_ time.Duration, e ledger.Entry) {
	switch {
	case e.Machine != nil:
		d.registry[e.Machine.Name] = *e.Machine
	case e.Gone != nil:
		for _, n := range e.Gone {
			d.Yard.Remove(n)
			delete(d.registry, n)
		}
	case e.Own != nil:
		var r returns
		if err := json.Unmarshal(e.Own.Data, &r); err != nil {
			d.Note(effects.Warn, "a note of machines that are returned cannot be read: they are waited for", "error", err)
			return
		}
		if r.Epoch == d.Epoch-1 {
			d.last = append(d.last, r)
		}
	}
}

// Begin enters the registered machines. What earlier terms left on them is not
// known before they report.
func (d *Duty) Begin(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(d.registry)) {
		m := d.registry[name]
		if x := d.AddMachine(now, m); x != nil {
			x.Durable, x.Number = true, m.Number
			d.Numbers = max(d.Numbers, m.Number)
		}
	}
	for _, r := range d.last {
		for _, name := range r.Machines {
			if m := d.Yard.Find(name); m != nil {
				m.Resolved = true
				d.Leave(now, m, cluster.Return, "not needed, as the term before has noted")
				d.empty = append(d.empty, name) // for the term after this one
			}
		}
	}
	d.registry, d.last = nil, nil
}

// Hear has a machine noted on which nothing is before it is deleted.
func (d *Duty) Hear(e cluster.Event) {
	if e.Kind == cluster.MachineEmpty && d.Cfg.Tunables.NoteReturns == 1 {
		e.Machine.Unwritten = true
		d.empty = append(d.empty, e.Machine.Name)
	}
}

// Write notes machines that are to be returned.
func (d *Duty) Write(time.Duration) {
	if len(d.empty) == 0 {
		return
	}
	for _, part := range ledger.Split(d.empty, d.Log.Room()-2*ledger.EntryBytes) {
		d.Log.AppendFact(ledger.NewOwn(Name, returns{d.Epoch, part}))
	}
	d.empty = nil
}

// Durable lets tasks start on a machine that is registered, and one be deleted
// that is noted as empty.
func (d *Duty) Durable(_ time.Duration, _ bool, e ledger.Entry) {
	if e.Own != nil {
		var r returns
		if json.Unmarshal(e.Own.Data, &r) == nil { // this term wrote it
			for _, name := range r.Machines {
				if m := d.Yard.Find(name); m != nil {
					m.Unwritten = false
				}
			}
		}
		return
	}
	if e.Machine == nil {
		return
	}
	if m := d.Yard.Find(e.Machine.Name); m != nil {
		m.Durable = true
		d.Dirty = true
	}
}

// Tick looks after every machine.
func (d *Duty) Tick(now time.Duration, sure bool) {
	if now-d.watchedAt >= watchEvery {
		d.watchedAt = now
		d.watch(now, sure)
	}
}

// Live is roughly how many bytes Keep would write for the whole log.
func (d *Duty) Live() int { return len(d.Yard.All()) * machineBytes }

// Keep writes anew what is live of an entry.
func (d *Duty) Keep(_ time.Duration, e ledger.Entry) {
	if e.Machine != nil && d.Yard.Find(e.Machine.Name) != nil {
		d.Log.Append(ledger.Entry{Machine: e.Machine})
	}
}

// End has all reports that wait answered without anything.
func (d *Duty) End() {
	for _, w := range d.waiting {
		if !w.over {
			d.Emit(effects.ReplyReport{To: w.to, Answer: effects.ReportAnswer{Status: 503}})
		}
	}
	d.waiting = nil
}

// waitingReport is a report taken in whose answer waits for a pass, or for
// what must be durable before the machine may start its tasks.
type waitingReport struct {
	to    effects.Asker
	m     *workers.Machine
	cmds  []workers.Command
	since time.Duration
	over  bool // answered, since the machine has reported again
}

// resolved notes that what an earlier term left on a machine is known.
func (d *Duty) resolved(now time.Duration, m *workers.Machine) {
	d.Dirty = true
	d.Found(m)
	for id := range m.Grants {
		if j := d.Jobs.Find(id); j != nil && j.Unsettled > 0 {
			j.Unsettled--
		}
	}
	d.Tell(cluster.Event{Kind: cluster.MachineResolved, At: now, Machine: m})
	if n, _ := d.Unresolved(); n == 0 {
		d.Note(effects.Info, "all machines resolved", "epoch", d.Epoch, "after", (now - d.Began).Round(10*time.Millisecond))
	}
}

// hold settles in whose block the machine is that has reported by way of a
// controller. It returns the holder to which the worker must go instead.
func (d *Duty) hold(now time.Duration, m *workers.Machine, in effects.Relayed) string {
	if life, ok := d.lives[in.Via]; ok && life != in.Life {
		// The controller began anew and has forgotten what it took up: what is
		// on offer by way of it must be settled before it is offered again.
		for _, o := range d.Yard.All() {
			if o.Holder == in.Via {
				d.freeze(o)
			}
		}
	}
	d.lives[in.Via] = in.Life
	d.seen[in.Via] = now
	switch {
	case m.Holder == in.Via:
		return ""
	case m.Holder != "" && now-m.Heard < moveAfter && now-d.seen[m.Holder] < moveAfter:
		return m.Holder
	case m.Holder != "":
		d.freeze(m)
		m.Token = d.NextToken() // the worker turns the former holder away
	}
	m.Holder = in.Via
	return ""
}

// freeze keeps the tasks planned on a machine from being offered anew while
// an offer of them is open.
func (d *Duty) freeze(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned && len(p.Offered) > 0 {
			p.Frozen = true
		}
	}
}

// Report takes in a worker's report, received by a controller. The answer,
// which says how that controller may answer the worker, comes at once or with
// the pass that follows.
func (d *Duty) Report(now time.Duration, sure bool, to effects.Asker, in effects.Relayed) {
	r := &in.Report
	answer := effects.ReportAnswer{Status: 200, Token: d.Token}
	rec := ledger.Machine{Name: r.Machine, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	m := d.Yard.Find(r.Machine)
	diff := d.Squared.Found(d.square(m, r))
	switch diff.Settlement() {
	case squaring.Ignore:
		if m != nil {
			m.Stale(now, settings.Seconds(1.5*d.Cfg.Deployment.Workers.ReportS))
			if sure && m.WantsToken(now) {
				m.Token = d.NextToken()
			}
			// The answer goes nowhere, or to a worker that has begun anew: that one must get
			// no token but such as nobody had before it.
			if answer.Token = m.Token; m.Doubt == 0 || m.Token <= m.Doubt {
				answer.Token = 0
			}
		}
		d.Emit(effects.ReplyReport{To: to, Answer: answer})
		return
	case squaring.Register:
		if m = d.AddMachine(now, rec); m == nil {
			d.Emit(effects.ReplyReport{To: to, Answer: answer})
			return
		}
		d.Note(effects.Info, "machine appeared unasked", "machine", r.Machine)
	}
	m.Address = r.Address
	if !m.Durable && !m.Leaving {
		m.Resolved = true // no task is ever started on a machine before it is registered
		rec.Number = d.Numbers + 1
		if !d.Log.Fits(ledger.Entry{Machine: &rec}) {
			d.Leave(now, m, cluster.Delete, "its names are too long to be stored")
		} else if m.QueueRegistry() {
			d.Numbers++
			m.Number = d.Numbers
			d.Log.AppendFact(ledger.Entry{Machine: &rec})
		}
	}
	if w := d.waits[m]; w != nil {
		// The worker has given that one up: nothing may be started by it.
		d.Emit(effects.ReplyReport{To: w.to, Answer: effects.ReportAnswer{Status: 200, Token: m.Token}})
		w.over = true
		delete(d.waits, m)
	}
	elsewhere := d.hold(now, m, in)
	if !m.Up {
		m.UpSince = now
		d.Dirty = true
	}
	if diff == squaring.MachineReborn {
		d.Note(effects.Info, "machine has begun anew under its name", "machine", m.Name, "tasks", len(m.Tasks))
	}
	if diff.Settlement() == squaring.Forget {
		d.offersLost(now, m)
	}
	before := m.Resolved
	events, cmds := m.Absorb(now, r, m.Token, d.Squared, func(job uint64, task int, here bool) (workers.Known, bool) {
		return d.known(m, job, task, here)
	})
	if m.Resolved != before {
		d.resolved(now, m)
	}
	for _, e := range events {
		d.event(now, m, e)
	}
	d.fit(m)
	d.Tell(cluster.Event{Kind: cluster.ReportTaken, At: now, Machine: m, Report: r})
	if elsewhere != "" {
		d.Emit(effects.ReplyReport{To: to, Answer: effects.ReportAnswer{Status: 421, Node: elsewhere}})
		return
	}
	if d.Spreader != nil && sure && m.Durable && m.Resolved && !m.Leaving && r.Token == m.Token && len(cmds) == 0 && m.Still() {
		if other := d.Spreader.Elsewhere(now, m); other != "" {
			// Nothing is on its way to it. What was its due comes with its next report,
			// by way of the other controller; the former one is turned away.
			m.Token, m.Holder = d.NextToken(), other
			d.Emit(effects.ReplyReport{To: to, Answer: effects.ReportAnswer{Status: 421, Node: other}})
			return
		}
	}
	if sure && m.WantsToken(now) {
		m.Token = d.NextToken() // what was sent straight to the worker before cannot begin once it has seen this
	}
	w := &waitingReport{to: to, m: m, cmds: cmds, since: now}
	if sure && !m.Leaving && !m.Notice && (d.Dirty || m.Awaits()) {
		d.waiting = append(d.waiting, w)
		d.waits[m] = w
		return
	}
	d.reply(sure, w)
}

// fit takes back plans for which a machine has no room any more: its controller has
// started tasks there, out of the block's offers, that were planned on other machines, and
// meanwhile its room was given once more. Found on a day with seven controllers, where one
// start in thirty was refused for want of room, and each refusal kept its machine from work
// for two seconds.
func (d *Duty) fit(m *workers.Machine) {
	if (amounts.Amounts{}).Fits(m.Free) {
		return
	}
	for _, p := range m.PlannedHere() {
		if d.TakeBack(p); (amounts.Amounts{}).Fits(m.Free) {
			return
		}
	}
}

// square names the difference between a machine, nil if it is not entered, and its report.
func (d *Duty) square(m *workers.Machine, r *workers.Report) squaring.Diff {
	_, typed := d.TypeNames.Find(r.Type)
	x := squaring.Machine{Gone: d.Yard.Gone(r.Machine), Typed: typed, Epoch: d.Epoch,
		ReportSession: r.Session, ReportNumber: r.Seq, ReportToken: r.Token, ReportEpoch: r.Token >> cluster.TokenBits}
	if m != nil {
		x.Known, x.Leaving, x.Session, x.Number, x.Token, x.Seen, x.Doubt = true, m.Leaving, m.Session, m.Seq, m.Token, m.Seen(), m.Doubt
	}
	return squaring.Report(x)
}

// reply answers a report: with what follows from it, the stops that are due
// and the offers.
func (d *Duty) reply(sure bool, w *waitingReport) {
	m := w.m
	answer := effects.ReportAnswer{Status: 200, Token: m.Token, LeaseS: d.Cfg.Tunables.BlockLeaseS, Commands: append(w.cmds, m.Stops()...)}
	if sure && m.Durable && m.Resolved && !m.Leaving && !m.Notice {
		answer.Offers = m.Offer(d.PlannedOn, func() uint64 { d.serials++; return d.Token + d.serials }, d.Attempt)
		answer.Room = m.Free
	}
	d.Emit(effects.ReplyReport{To: w.to, Answer: answer})
}

// Release answers the reports that wait for nothing any more.
func (d *Duty) Release(now time.Duration, sure bool) {
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		if w.over {
			continue
		}
		if sure && w.m.Awaits() && now-w.since < grantWait && !w.m.Leaving {
			kept = append(kept, w)
			continue
		}
		delete(d.waits, w.m)
		d.reply(sure, w)
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

// Started notes offers that the leader's own block has taken up.
func (d *Duty) Started(now time.Duration, machine string, offers []workers.Offer) {
	m := d.Yard.Find(machine)
	for _, o := range offers {
		if j := d.Jobs.Find(o.Start.Job); j != nil && m != nil {
			if m.Started(workers.Ref{Job: j.Index, Task: int32(o.Start.Task)}) {
				d.Tell(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: j, Task: o.Start.Task, Machine: m})
			}
		}
	}
}

// known tells what the leader knows of a task that a report shows. When it is
// really there, a mere plan for it gives way.
func (d *Duty) known(m *workers.Machine, id uint64, task int, here bool) (workers.Known, bool) {
	j := d.Jobs.Find(id)
	if j == nil {
		// Leaders of the version in production have users told while tasks still run.
		p, _ := d.Jobs.Final(id)
		return workers.Known{Ref: workers.NoRef, Noted: true, Cancelled: true}, p == jobs.Cancelled
	}
	if task >= len(j.Tasks) || j.Phase == jobs.Accepting {
		return workers.Known{}, false
	}
	ref := workers.Ref{Job: j.Index, Task: int32(task)}
	if p := d.Where[ref]; here && p != nil && p.Planned && len(p.Offered) == 0 {
		d.TakeBack(p)
	}
	p := d.Where[ref]
	elsewhere := p != nil && (p.Home != m || p.Planned)
	s := j.Tasks[task]
	return workers.Known{Ref: ref, Need: j.Need, Image: j.Image, ImageGB: j.Rec.ImageGB,
		Open:  (j.Phase == jobs.Open || j.Phase == jobs.Cancelling) && s != jobs.Finished && s != jobs.Noted && !elsewhere,
		Noted: s == jobs.Noted, Held: j.Phase == jobs.Held, Elsewhere: elsewhere}, true
}

func (d *Duty) event(now time.Duration, m *workers.Machine, e workers.Event) {
	j := d.Jobs.At(e.Ref.Job)
	k := int(e.Ref.Task)
	switch e.Kind {
	case workers.EvAdopted:
		j.Place(k)
		d.Plan.Charge(j.Team, j.Need)
		j.MoveZone(m.Zone, 1)
		d.Where[e.Ref] = e.Placement
		d.Tell(cluster.Event{Kind: cluster.TaskAdopted, At: now, Job: j, Task: k, Machine: m})
		d.stopIfCancelling(j, e.Placement)
		if j.Rec.Kind == jobs.Gang {
			diff := d.Squared.Found(squaring.Gang(j.Launch, e.Attempt))
			if diff == squaring.GangFound {
				j.Launch = e.Attempt
			}
			j.Began = true // or so it must be taken: it is not known whether it ran
			if diff.Settlement() == squaring.Break {
				d.BreakGang(j)
			}
		}
	case workers.EvPlaced:
		p := e.Placement
		p.Withdrawn = false
		d.Tell(cluster.Event{Kind: cluster.TaskPlaced, At: now, Job: j, Task: k, Machine: m})
		d.stopIfCancelling(j, p)
		if j.Rec.Kind == jobs.Gang && (j.Broken || j.Launch != p.Attempt) {
			p.Stopping, p.GraceS = true, 0
		}
	case workers.EvOfferOver:
		p := e.Placement
		if p.Frozen = false; p.Withdrawn {
			p.Withdrawn = false
			d.TakeBack(p)
		}
	case workers.EvBegan:
		j.Running++
		if j.FirstAt == 0 {
			j.FirstAt = now
		}
		j.LastAt = now
		j.Began = j.Began || j.Rec.Kind == jobs.Gang
		d.Book.Began(e.Ref.Job, k, now.Seconds())
		d.Tell(cluster.Event{Kind: cluster.TaskBegan, At: now, Job: j, Task: k, Machine: m})
	case workers.EvCompleted:
		if e.Running {
			j.Running--
		}
		took := -1.0
		if e.Ran >= 0 {
			took = e.Ran.Seconds()
			j.SumS += took
			j.SumN++
		}
		if d.Where[e.Ref] != nil {
			delete(d.Where, e.Ref)
			d.Plan.Refund(j.Team, j.Need)
			j.MoveZone(m.Zone, -1)
		}
		d.Counts.TasksDone++
		j.Complete(k)
		d.GangEnds(j)
		j.Errors, m.Errors = 0, 0
		d.Book.Completed(e.Ref.Job, k, took)
		d.Tell(cluster.Event{Kind: cluster.TaskDone, At: now, Job: j, Task: k, Took: took, Mine: d.Mine(e.Attempt), Machine: m})
		d.Dirty = true
	case workers.EvGone:
		if e.Running {
			j.Running--
		}
		if j.Phase == jobs.Open && e.Reason != workers.Stopped {
			d.Counts.TasksRerun++
			d.Note(effects.Debug, "task to run again", "job", e.JobID, "task", k, "machine", m.Name, "why", e.Reason.String())
		}
		d.Tell(cluster.Event{Kind: cluster.TaskGone, At: now, Job: j, Task: k, Machine: m, Lost: e.Died})
		d.Lift(e.Ref)
		if j.Rec.Kind == jobs.Gang && (j.Began || e.Reason == workers.Alone || e.Reason == workers.PeersLost || e.Reason == workers.Failed || e.Reason == workers.Stopped) {
			d.BreakGang(j)
		}
		d.GangEnds(j)
		switch e.Reason {
		case workers.Failed:
			m.Errors++
			j.Errors++
			if m.Errors >= 3 {
				// Few failures without a success between them: the machine is faulty.
				m.ShunUntil = now + time.Minute
			}
			if j.Errors >= 3 {
				// It fails wherever it goes: tried ever more slowly, so that others get on.
				j.NotBefore = now + time.Second<<min(j.Errors-3, 6)
			}
			d.Note(effects.Debug, "task failed", "job", e.JobID, "task", k, "machine", m.Name)
		case workers.NoRoom, workers.Busy:
			m.ShunUntil = now + 2*time.Second // our count of its room is wrong for the moment
		case workers.UnknownTask:
			j.NotBefore = now + 2*time.Second
		}
	}
}

// stopIfCancelling has a task stopped that turns out to be on a machine while its job is
// being cancelled.
func (d *Duty) stopIfCancelling(j *jobs.Job, p *workers.Placement) {
	if j.Phase == jobs.Cancelling {
		p.Stopping, p.GraceS = true, 0
	}
}

// offersLost tells of the tasks that were on offer to a machine whose worker has died:
// another controller may have started them there, and no report will say so any more.
func (d *Duty) offersLost(now time.Duration, m *workers.Machine) {
	for ref, p := range m.Offers {
		if j := d.Jobs.At(ref.Job); p.Planned && j != nil {
			d.Tell(cluster.Event{Kind: cluster.OfferLost, At: now, Job: j, Task: int(ref.Task), Machine: m})
		}
	}
}

// watch looks after every machine: silent ones, boots that take too long,
// spot notices, tasks that were to be stopped and are still there.
func (d *Duty) watch(now time.Duration, sure bool) {
	w := d.Cfg.Deployment.Workers
	limit := d.Silence()
	deaf := d.Deaf(now)
	if deaf {
		// Most of them at once: the fault is more likely on our side.
		limit = max(limit, settings.Seconds(1.2*w.LeaseS))
	}
	d.watchZones(now, deaf)
	d.well = d.hears(now)
	overdue := settings.Seconds(0.5 * w.CancelS)
	var late []*jobs.Job // being cancelled for longer than tasks may take to stop
	for _, j := range d.Jobs.All() {
		if j != nil && j.Phase == jobs.Cancelling && now-j.AskedAt > overdue {
			late = append(late, j)
		}
	}
	for _, m := range slices.Clone(d.Yard.All()) {
		if m.Leaving {
			continue
		}
		heard := max(m.Heard, d.Began)
		if now-heard > d.Quiet() {
			d.TakeBackAll(m)
		}
		switch {
		case sure && slices.ContainsFunc(late, func(j *jobs.Job) bool { return d.mayBeOn(j, m) }):
			// The deletion will prove it. Without being sure of the term its user could not be
			// told so.
			d.Leave(now, m, cluster.Delete, "a cancelled job's task not proved gone")
		case sure && !deaf && now-heard > d.Quiet() && d.nothingElse(m):
			d.Leave(now, m, cluster.Delete, "silent, with nothing but cancelled jobs' tasks")
		case sure && !m.Up && m.Durable && now-d.Began <= d.Patience(): // it may live, and be on its way here
		case sure && (m.Up || m.Durable) && now-heard > limit && d.waitsFor(now, m): // with its whole zone
		case sure && m.Durable && d.mute(m, heard):
			d.Leave(now, m, cluster.Delete, "does not answer")
		case sure && (m.Up || m.Durable) && now-heard > limit:
			d.Leave(now, m, cluster.Delete, "silent")
		case sure && !m.Up && !m.Durable && now-m.RentedAt > settings.Seconds(d.Cfg.Tunables.BootGiveUpTimes*d.Types[m.Type].BootS)+bootSlack:
			d.Leave(now, m, cluster.Delete, "never came up")
		case sure && m.Tainted:
			d.Leave(now, m, cluster.Delete, "a start sent to it may be carried out by its next life")
		case sure && m.Deaf(now, settings.Seconds(1.2*w.LeaseS)):
			d.Leave(now, m, cluster.Delete, "does not hear")
		case m.Notice && now > m.TakenAt:
			d.Leave(now, m, cluster.Return, "taken by the cloud")
		case m.Notice && len(m.Tasks) == 0:
			d.Leave(now, m, cluster.Return, "to be taken by the cloud")
		case len(m.Strays) > 0 && now-m.StraysSince > overdue:
			d.Leave(now, m, cluster.Delete, "tasks that do not stop")
		}
		if !m.Notice && !m.Draining {
			continue // nothing that is on it is of any interest here
		}
		for _, p := range m.Tasks {
			j := d.Jobs.At(p.Ref.Job)
			if p.Planned || p.Stopping {
				continue
			}
			left := m.TakenAt - now
			switch {
			case j.Rec.Kind == jobs.Service && (m.Notice || m.Draining):
				p.Stopping, p.GraceS = true, j.Rec.SaveS // replaced elsewhere once it is gone
			case m.Notice && j.Rec.Checkpoint > 0 && p.State == workers.Running && left < settings.Seconds(j.Rec.SaveS+2+1.5*w.ReportS+d.PeerTime(j)):
				d.SaveAndStop(now, j, p)
			}
		}
	}
}

// mayBeOn says whether a job may have a task on a machine, as far as is proved.
func (d *Duty) mayBeOn(j *jobs.Job, m *workers.Machine) bool {
	if m.Unresolved() {
		return d.MayRunUnseen(j) && m.MayHave(j.Rec.ID)
	}
	for _, p := range m.Tasks {
		if p.Ref.Job == j.Index && !p.Planned {
			return true
		}
	}
	return false
}

// nothingElse says whether all that counts as being on a machine is of jobs that are being
// cancelled: then nothing is lost with it, and their users wait.
func (d *Duty) nothingElse(m *workers.Machine) bool {
	if len(m.Tasks) == 0 || m.Unresolved() {
		return false
	}
	for _, p := range m.Tasks {
		if d.Jobs.At(p.Ref.Job).Phase != jobs.Cancelling {
			return false
		}
	}
	return true
}

// mute says whether a machine has been asked often enough while it was silent, and its zone
// is heard: it is given up before others.
func (d *Duty) mute(m *workers.Machine, heard time.Duration) bool {
	most := d.Cfg.Tunables.AskSilent
	return most > 0 && m.Unanswered >= most && m.UnansweredAt >= heard && int(m.Zone) < len(d.well) && d.well[m.Zone]
}

// hears says which zones are heard well: of a zone that is not, machines are no more
// likely dead than cut off.
func (d *Duty) hears(now time.Duration) []bool {
	if d.Cfg.Tunables.AskSilent == 0 || !d.Cfg.Prompts() {
		return nil
	}
	up, silent := make([]int, d.Zones.Len()), make([]int, d.Zones.Len())
	for _, m := range d.Yard.All() {
		if m.Durable && !m.Leaving {
			up[m.Zone]++
			if now-max(m.Heard, d.Began) > settings.Seconds(1.25*d.Cfg.Deployment.Workers.ReportS) {
				silent[m.Zone]++
			}
		}
	}
	well := make([]bool, len(up))
	for z := range up {
		well[z] = silent[z]*wellHeard <= up[z]
	}
	return well
}

// wellHeard: a zone is if at most one in so many of its machines is late.
const wellHeard = 5

// cutZone is what is known of a zone that is silent as a whole, or was until lately.
type cutZone struct {
	since, until time.Duration // from when to when; until 0: never
}

// watchZones notes which zones are silent as a whole: most of their machines are, while
// others are heard.
func (d *Duty) watchZones(now time.Duration, deaf bool) {
	if d.Cfg.Tunables.ZonePatienceS == 0 {
		return
	}
	up, silent := d.Heard(now)
	for len(d.cuts) < len(up) {
		d.cuts = append(d.cuts, cutZone{})
	}
	for z := range up {
		if c := &d.cuts[z]; !deaf && cluster.Most(silent[z], up[z]) && d.kept(z) {
			if c.until == 0 || now-c.until > d.Silence() {
				c.since = now - d.Quiet()
				d.Note(effects.Warn, "a zone is silent as a whole: its machines are waited for", "zone", d.Zones.Name(int32(z)), "silent", silent[z], "of", up[z], "for", d.Cfg.Tunables.ZonePatienceS)
			}
			c.until = now
		}
	}
}

// kept says whether another controller is in a zone, which may keep its workers alive
// while it is cut off. Found on a day on which there was none: all leases ran out there,
// and their machines were waited for in vain.
func (d *Duty) kept(zone int) bool {
	name := d.Zones.Name(int32(zone))
	return slices.ContainsFunc(d.Cfg.Peers, func(p settings.Peer) bool { return p.Zone == name })
}

// waitsFor says whether a silent machine is waited for with its whole zone: for a bounded
// time, and for as long as any machine has to come back after that time or the cut's end.
// One whose tasks are not known is not waited for where it takes much of a team's limit:
// until it is resolved, nothing of that team may start. Found on days with a zone cut for
// longer than a machine is usually waited for: all that ran there was started again, on
// machines that had to be rented first, while there it went on to its end.
func (d *Duty) waitsFor(now time.Duration, m *workers.Machine) bool {
	if int(m.Zone) >= len(d.cuts) {
		return false
	}
	c := d.cuts[m.Zone]
	if c.until == 0 || now-c.until > d.Silence() || now-c.since > settings.Seconds(d.Cfg.Tunables.ZonePatienceS)+d.Silence() || (c.until == now && now-c.since > settings.Seconds(d.Cfg.Tunables.ZonePatienceS)) {
		return false
	}
	return !m.Unresolved() || !d.Crowded()
}

// Deleted takes machines out that are gone, and all that was on them.
func (d *Duty) Deleted(now time.Duration, list []string) {
	for _, name := range list {
		m := d.Yard.Find(name)
		if m == nil {
			continue
		}
		d.offersLost(now, m)
		for _, p := range m.CloseOffers() {
			d.event(now, m, workers.Event{Kind: workers.EvOfferOver, Ref: p.Ref, JobID: p.JobID, Attempt: p.Attempt, Placement: p})
		}
		for ref, p := range m.Tasks {
			if p.Planned && p.Rehome() {
				d.ListPlans(p.Home)
				p.Withdrawn = true // it may yet turn out to be on a machine it was offered to
				continue
			}
			ev := workers.Event{Kind: workers.EvGone, Ref: ref, JobID: p.JobID, Attempt: p.Attempt, Reason: workers.Vanished, Ran: -1, Running: p.Runs(), Died: true}
			m.Take(ref)
			d.event(now, m, ev)
		}
		d.Yard.Remove(name)
		if m.Unresolved() {
			d.resolved(now, m)
		}
		d.Tell(cluster.Event{Kind: cluster.MachineGone, At: now, Machine: m})
	}
	for _, part := range ledger.Split(list, d.Log.Room()-ledger.EntryBytes) {
		d.Log.Append(ledger.Entry{Gone: part})
	}
	d.Dirty = true
}
