package node

import (
	"time"

	"bitternmoor/internal/jobs"
	"bitternmoor/internal/ledger"
	"bitternmoor/internal/workers"
)

// The log is cleaned from its old end, a few segments at a time: what is still
// live of them is appended anew, and once that is durable they are
// removed. Entries may then be there twice for a while, which replaying them
// bears. Cleaning the oldest first keeps the order of what concerns one job.

const (
	cleanEvery   = 2 * time.Second
	cleanSoon    = 700 * time.Millisecond // while the log is three times as long as it should be
	cleanBytes   = 8 << 10                // taken at once, in whole segments
	cleanMost    = 8                      // segments at once: each costs a change to remove
	fewSegments  = 24                     // not worth cleaning
	jobBytes     = 400                    // rough sizes, to tell how much of the log is live
	overBytes    = 9
	machineBytes = 100
	grantBytes   = 5
)

// tagClean is the number of the first segment that stays.
type tagClean int

// clean asks for the oldest segments when the log has grown to a few times
// what is live of it.
func (t *Term) clean(now time.Duration) {
	if t.cleaning || now-t.cleanAt < cleanSoon {
		return
	}
	live := t.table.Len()*jobBytes + t.table.Finals()*overBytes + len(t.yard.All())*machineBytes
	for _, list := range t.granted {
		live += len(list) * grantBytes
	}
	value := int(t.cfg.Writes().ValueKB * 1024)
	most := max(fewSegments, 3*live/value)
	spare := t.log.Last() - t.first - most
	// What users wait for goes first, but not for ever: under steady load there
	// is always something to write, and the log must not grow without end.
	switch {
	case spare < 0, spare < most/2 && t.log.Pending() > 0, spare < 2*most && now-t.cleanAt < cleanEvery:
		return
	}
	t.cleaning, t.cleanAt = true, now
	t.emit(Clean{t.first, min(spare+1, max(1, min(cleanBytes/value, cleanMost)), t.log.Last()-t.first)})
}

// cleaned takes the segments numbered first to end-1, read back. A key that is
// missing has been removed already.
func (t *Term) cleaned(now time.Duration, first, end int, read bool, entries []ledger.Entry) {
	if !read || first != t.first || !t.canKeep(entries) {
		t.cleaning = false
		return
	}
	var over ledger.Over
	flush := func(most int) {
		if len(over.Done)+len(over.Cancelled) >= most {
			o := over
			t.log.Append(ledger.Entry{Over: &o}, nil)
			over = ledger.Over{}
		}
	}
	ended := func(id uint64) {
		switch p, _ := t.table.Final(id); p {
		case jobs.Done:
			over.Done = append(over.Done, id)
		case jobs.Cancelled:
			over.Cancelled = append(over.Cancelled, id)
		}
		flush(max(1, t.log.Room()/idBytes-2))
	}
	typed := false
	byNumber := map[int]*workers.Machine{}
	for _, m := range t.yard.All() {
		byNumber[m.Number] = m
	}
	for _, e := range entries {
		switch {
		case e.Grant != nil && !e.Grant.Back:
			g := ledger.Grant{Job: e.Grant.Job}
			for _, number := range e.Grant.Machines {
				if m := byNumber[number]; m != nil && m.Grants[g.Job] {
					g.Machines = append(g.Machines, number)
				}
			}
			if len(g.Machines) > 0 {
				t.log.Append(ledger.Entry{Grant: &g}, nil)
			}
		case e.After != nil:
			// One for one, beside the job's own entry: the two may be in different
			// segments, and what a waiting job follows must never be lost.
			if j := t.table.Find(e.After.ID); j != nil && j.Rec.AtMS == e.After.AtMS {
				t.log.Append(e, nil)
			}
		case e.Job != nil:
			if _, over := t.table.Final(e.Job.ID); over {
				ended(e.Job.ID)
			} else if j := t.table.Find(e.Job.ID); j != nil {
				t.again(now, j)
			}
		case e.Over != nil:
			for _, id := range e.Over.Done {
				ended(id)
			}
			for _, id := range e.Over.Cancelled {
				ended(id)
			}
		case e.Machine != nil:
			if m := t.yard.Find(e.Machine.Name); m != nil {
				t.log.Append(ledger.Entry{Machine: e.Machine}, nil)
			}
		case e.Types != nil:
			if !typed {
				typed = true
				t.appendTypes(t.types)
			}
		case e.Rental != nil:
			if r, open := t.rentals[e.Rental.Name]; open {
				t.log.Append(ledger.Entry{Rental: &r}, nil)
			}
		}
	}
	flush(1)
	// This entry says nothing by itself; when it is durable all before it is.
	t.log.Append(ledger.Entry{Over: &ledger.Over{}}, tagClean(end))
}

// canKeep says whether all that is live of these entries can be written anew.
// What was stored under larger limits may be too large now: then it stays
// where it is until the job is over. A cancellation on its way to the log would
// stand before the job that is written anew, and be replayed without it.
func (t *Term) canKeep(entries []ledger.Entry) bool {
	for _, e := range entries {
		if e.Job == nil {
			continue
		}
		if j := t.table.Find(e.Job.ID); j != nil {
			if rec, _ := t.stored(j.Rec); j.Phase == jobs.Cancelling || !t.log.Fits(ledger.Entry{Job: &rec}) {
				return false
			}
		}
	}
	return true
}

// again appends what is known of an open job. Completed tasks that are on
// their way to the log are in it too: their own entry will stand before the job
// that is written here, and be replayed without it.
func (t *Term) again(now time.Duration, j *jobs.Job) {
	t.appendJob(j, nil)
	noted := ledger.Tasks{ID: j.Rec.ID, Seconds: j.SumS, Known: j.SumN}
	for k, s := range j.Tasks {
		if s == jobs.Noted || s == jobs.Finished {
			noted.Add(k)
		}
	}
	if len(noted.Ranges) > 0 {
		t.appendTasks(now, noted)
	}
	if size, final := t.book.Size(j.Index); final && size > 0 {
		t.log.Append(ledger.Entry{Size: &ledger.Size{ID: j.Rec.ID, Size: size}}, nil)
	}
}
