package node

import (
	"slices"
	"time"

	"bitternmoor/internal/amounts"
	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/workers"
)

// What workers' reports tell the leader, and how they are answered.

// stopNow sends a machine's stops without waiting for its next report.
func (t *Term) stopNow(m *workers.Machine) {
	if m.Address != "" && m.Up && !m.Leaving {
		t.emit(Direct{m.Address, m.Token, m.Session, m.Stops()})
	}
}

// resolved notes that what an earlier term left on a machine is known.
func (t *Term) resolved(now time.Duration, m *workers.Machine) {
	t.dirty = true
	for id := range m.Grants {
		if j := t.table.Find(id); j != nil && j.Unsettled > 0 {
			j.Unsettled--
		}
	}
	if room, _ := t.unresolved(); room == (amounts.Amounts{}) {
		t.note(Info, "all machines resolved", "epoch", t.epoch, "after", (now - t.began).Round(10*time.Millisecond))
	}
}

// quiet is how long a worker may be silent before it gets no new tasks, and
// silence how long before its machine is given up.
func (t *Term) quiet() time.Duration {
	return settings.Seconds(2.5 * t.cfg.Deployment.Workers.ReportS)
}

func (t *Term) silence() time.Duration {
	w := t.cfg.Deployment.Workers
	return settings.Seconds(max(3*w.ReportS+2, 0.6*w.LeaseS))
}

// moveAfter is how long a machine's own controller must not have heard it
// before another one gets it.
const moveAfter = 2 * time.Second

// hold settles in whose block the machine is that has reported by way of a
// controller. It returns the holder to which the worker must go instead.
func (t *Term) hold(now time.Duration, m *workers.Machine, in Relayed) string {
	if life, ok := t.lives[in.Via]; ok && life != in.Life {
		// The controller began anew and has forgotten what it took up: what is
		// on offer by way of it must be settled before it is offered again.
		for _, o := range t.yard.All() {
			if o.Holder == in.Via {
				t.freeze(o)
			}
		}
	}
	t.lives[in.Via] = in.Life
	t.seen[in.Via] = now
	switch {
	case m.Holder == in.Via:
		return ""
	case m.Holder != "" && now-m.Heard < moveAfter && now-t.seen[m.Holder] < moveAfter:
		return m.Holder
	case m.Holder != "":
		t.freeze(m)
		t.grants++
		m.Token = t.token + t.grants // the worker turns the former holder away
	}
	m.Holder = in.Via
	return ""
}

// freeze keeps the tasks planned on a machine from being offered anew while
// an offer of them is open.
func (t *Term) freeze(m *workers.Machine) {
	for _, p := range m.Tasks {
		if p.Planned && len(p.Offered) > 0 {
			p.Frozen = true
		}
	}
}

// waitingReport is a report taken in whose answer waits for a pass, or for
// what must be durable before the machine may start its tasks.
type waitingReport struct {
	to    Asker
	m     *workers.Machine
	cmds  []workers.Command
	since time.Duration
}

// grantWait is how long an answer waits at most: the machine's next report
// gets what this one did not.
const grantWait = 500 * time.Millisecond

// report takes in a worker's report, received by a controller. The answer,
// which says how that controller may answer the worker, comes at once or with
// the pass that follows.
func (t *Term) report(now time.Duration, sure bool, to Asker, in Relayed) {
	r := &in.Report
	answer := ReportAnswer{Status: 200, Token: t.token}
	if !t.loaded {
		t.emit(ReplyReport{to, answer})
		return
	}
	rec := ledger.Machine{Name: r.Machine, Address: r.Address, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	m := t.yard.Find(r.Machine)
	if m == nil {
		if m = t.addMachine(now, rec); m == nil {
			t.emit(ReplyReport{to, answer})
			return
		}
		t.note(Info, "machine appeared unasked", "machine", r.Machine)
	}
	m.Address = r.Address
	if !m.Durable && !m.Leaving {
		m.Resolved = true // no task is ever started on a machine before it is registered
		rec.Number = t.numbers + 1
		if !t.log.Fits(ledger.Entry{Machine: &rec}) {
			t.leave(m, "its names are too long to be stored")
		} else if m.QueueRegistry() {
			t.numbers++
			m.Number = t.numbers
			t.log.Append(ledger.Entry{Machine: &rec}, tagMachine(r.Machine))
		}
	}
	if !m.Fresh(r) {
		answer.Token = m.Token
		t.emit(ReplyReport{to, answer}) // a late report: its answer goes nowhere
		return
	}
	for i, w := range t.waiting {
		if w.m == m {
			// The worker has given that one up: nothing may be started by it.
			t.emit(ReplyReport{w.to, ReportAnswer{Status: 200, Token: m.Token}})
			t.waiting = slices.Delete(t.waiting, i, i+1)
			break
		}
	}
	elsewhere := t.hold(now, m, in)
	if !m.Up {
		m.UpSince = now
		t.dirty = true
	}
	before := m.Resolved
	events, cmds := m.Absorb(now, r, m.Token, func(job uint64, task int, here bool) (workers.Known, bool) {
		return t.known(m, job, task, here)
	})
	if m.Resolved != before {
		t.resolved(now, m)
	}
	for _, e := range events {
		t.event(now, m, e)
	}
	if r.Token == m.Token {
		t.withdraw(now, m, r)
	}
	if elsewhere != "" {
		t.emit(ReplyReport{to, ReportAnswer{Status: 421, Node: elsewhere}})
		return
	}
	w := waitingReport{to, m, cmds, now}
	if sure && !m.Leaving && !m.Notice && (t.dirty || m.Awaits()) {
		t.waiting = append(t.waiting, w)
		return
	}
	t.reply(sure, w)
}

// reply answers a report: with what follows from it, the stops that are due
// and the offers.
func (t *Term) reply(sure bool, w waitingReport) {
	m := w.m
	answer := ReportAnswer{Status: 200, Token: m.Token, LeaseS: t.cfg.Tunables.BlockLeaseS, Commands: append(w.cmds, m.Stops()...)}
	if sure && m.Durable && m.Resolved && !m.Leaving && !m.Notice {
		answer.Offers = m.Offer(t.plannedOn, func() uint64 { t.serials++; return t.token + t.serials }, t.attempt)
		answer.Room = m.Free
	}
	t.emit(ReplyReport{w.to, answer})
}

// release answers the reports that wait for nothing any more.
func (t *Term) release(now time.Duration, sure bool) {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		if sure && w.m.Awaits() && now-w.since < grantWait && !w.m.Leaving {
			kept = append(kept, w)
			continue
		}
		t.reply(sure, w)
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
}

// started notes offers that the leader's own block has taken up.
func (t *Term) started(machine string, offers []workers.Offer) {
	m := t.yard.Find(machine)
	for _, o := range offers {
		if j := t.table.Find(o.Start.Job); j != nil && m != nil {
			m.Started(workers.Ref{Job: j.Index, Task: int32(o.Start.Task)})
		}
	}
}

// known tells what the leader knows of a task that a report shows. When it is
// really there, a mere plan for it gives way.
func (t *Term) known(m *workers.Machine, id uint64, task int, here bool) (workers.Known, bool) {
	j := t.table.Find(id)
	if j == nil || task >= len(j.Tasks) || j.Phase == jobs.Accepting {
		return workers.Known{}, false
	}
	ref := workers.Ref{Job: j.Index, Task: int32(task)}
	if p := t.where[ref]; here && p != nil && p.Planned && len(p.Offered) == 0 && j.Phase != jobs.Cancelled {
		t.takeBack(p)
	}
	p := t.where[ref]
	elsewhere := p != nil && (p.Home != m || p.Planned)
	s := j.Tasks[task]
	return workers.Known{Ref: ref, Need: j.Need, Image: j.Image, ImageGB: j.Rec.ImageGB,
		Open:  (j.Phase == jobs.Open || j.Phase == jobs.Cancelling) && s != jobs.Finished && s != jobs.Noted && !elsewhere,
		Noted: s == jobs.Noted || j.Phase == jobs.Cancelled, Elsewhere: elsewhere}, true
}

func (t *Term) attempt() uint64 {
	t.attempts++
	return t.attempts
}

func (t *Term) event(now time.Duration, m *workers.Machine, e workers.Event) {
	j := t.table.At(e.Ref.Job)
	k := int(e.Ref.Task)
	switch e.Kind {
	case workers.EvAdopted:
		j.Place(k)
		t.plan.Charge(j.Team, j.Need)
		j.MoveZone(m.Zone, 1)
		t.where[e.Ref] = e.Placement
		if j.Rec.Kind == jobs.Gang {
			if j.Launch == 0 {
				j.Launch = e.Attempt
			}
			j.Began = true // or so it must be taken: it is not known whether it ran
			if j.Launch != e.Attempt {
				t.breakGang(j)
			}
		}
	case workers.EvPlaced:
		p := e.Placement
		p.Withdrawn = false
		if j.Phase == jobs.Cancelled || (j.Rec.Kind == jobs.Gang && (j.Broken || j.Launch != p.Attempt)) {
			p.Stopping, p.GraceS = true, 0
		}
	case workers.EvOfferOver:
		p := e.Placement
		if p.Frozen = false; p.Withdrawn {
			p.Withdrawn = false
			t.takeBack(p)
		}
	case workers.EvBegan:
		j.Running++
		if j.FirstAt == 0 {
			j.FirstAt = now
		}
		j.LastAt = now
		j.Began = j.Began || j.Rec.Kind == jobs.Gang
		t.book.Began(e.Ref.Job, k, now.Seconds())
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
		if t.where[e.Ref] != nil {
			delete(t.where, e.Ref)
			t.plan.Refund(j.Team, j.Need)
			j.MoveZone(m.Zone, -1)
		}
		t.counts.TasksDone++
		j.Complete(k)
		t.gangEnds(j)
		j.Errors, m.Errors = 0, 0
		t.book.Completed(e.Ref.Job, k, took)
		t.complete(e.JobID, k, took)
		t.dirty = true
	case workers.EvGone:
		if e.Running {
			j.Running--
		}
		if j.Phase == jobs.Open && e.Reason != workers.Stopped {
			t.counts.TasksRerun++
			t.note(Debug, "task to run again", "job", e.JobID, "task", k, "machine", m.Name, "why", e.Reason.String())
		}
		t.lift(e.Ref)
		if j.Rec.Kind == jobs.Gang && (j.Began || e.Reason == workers.Alone || e.Reason == workers.PeersLost || e.Reason == workers.Failed || e.Reason == workers.Stopped) {
			t.breakGang(j)
		}
		t.gangEnds(j)
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
			t.note(Debug, "task failed", "job", e.JobID, "task", k, "machine", m.Name)
		case workers.NoRoom, workers.Busy:
			m.ShunUntil = now + 2*time.Second // our count of its room is wrong for the moment
		case workers.UnknownTask:
			j.NotBefore = now + 2*time.Second
		}
	}
}

// breakGang gives up a gang's launch: what was not sent is taken back, the
// others are stopped, and the next launch waits until all are proved gone.
func (t *Term) breakGang(j *jobs.Job) {
	if j.Broken || j.Finished > 0 {
		return // one that is done has all of them done
	}
	j.Broken = true
	for k, s := range j.Tasks {
		ref := workers.Ref{Job: j.Index, Task: int32(k)}
		p := t.where[ref]
		if s != jobs.Placed || p == nil {
			continue
		}
		switch {
		case p.Planned:
			t.takeBack(p)
		case !p.Stopping:
			p.Stopping, p.GraceS = true, 0
		}
	}
	t.gangEnds(j)
}

// gangEnds makes a gang ready for its next launch once nothing of the last
// one is left anywhere.
func (t *Term) gangEnds(j *jobs.Job) {
	if j.Rec.Kind == jobs.Gang && j.Placed == 0 {
		j.Launch, j.Broken, j.Began = 0, false, false
	}
}

// complete collects finished tasks for one entry of the log.
func (t *Term) complete(id uint64, k int, took float64) {
	b := t.completed[id]
	if b == nil {
		b = &ledger.Tasks{ID: id}
		t.completed[id] = b
	}
	b.Add(k)
	if took >= 0 {
		b.Seconds = float64(int64((b.Seconds+took)*100)) / 100
		b.Known++
	}
}
