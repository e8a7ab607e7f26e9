package workers

import (
	"slices"
	"testing"
	"time"

	"bitternmoor/internal/core/resources"
)

const token = 7

func newMachine() (*Inventory, *Machine) {
	inventory := NewInventory()
	m := inventory.Add(&Machine{Name: "m", Capacity: resources.Room(4, 0, 8), CacheGB: 10, FetchGBPS: 1, Durable: true})
	return inventory, m
}

func placeTask(m *Machine, job uint64, task int32) *Placement {
	p := &Placement{Ref: TaskRef{Job: int32(job), Task: task}, JobID: job, Need: resources.Need(1, 0, 1), Attempt: 1}
	m.Plan(p)
	m.placePlanned(p)
	p.lastReportSeq = m.Seq
	return p
}

func applyReport(m *Machine, r Report) []Event {
	lookup := func(job uint64, task int, _ bool) (TaskRecord, bool) {
		return TaskRecord{Ref: TaskRef{Job: int32(job), Task: int32(task)}, Need: resources.Need(1, 0, 1), Open: true}, true
	}
	events, _ := m.ApplyStatus(time.Second, &r, token, nil, lookup)
	return events
}

// counter returns a function that returns 1, 2, 3 and so on.
func counter() func() uint64 {
	n := uint64(0)
	return func() uint64 { n++; return n }
}

// A task counts as placed on its machine until a newer report at the current token lacks it or shows it
// ended, or a later session begins.
func TestProofsThatATaskIsGone(t *testing.T) {
	running := TaskReport{Job: 3, Task: 0, Attempt: 1, State: Running}
	other := TaskReport{Job: 3, Task: 0, Attempt: 2, State: Running} // it would run twice if it were released
	failed := TaskReport{Job: 3, Task: 0, Attempt: 1, State: Ended, Reason: Failed}
	cases := []struct {
		name   string
		report Report
		gone   bool
	}{
		{"a report at an older token lacks it", Report{Session: 1, Seq: 5, Token: token - 1}, false},
		{"a report at the current token lacks it", Report{Session: 1, Seq: 5, Token: token}, true},
		{"a report at the current token lists it", Report{Session: 1, Seq: 5, Token: token, Tasks: []TaskReport{running}}, false},
		{"a report lists another attempt of it", Report{Session: 1, Seq: 5, Token: token, Tasks: []TaskReport{other}}, false},
		{"a report shows it ended", Report{Session: 1, Seq: 5, Token: token, Tasks: []TaskReport{failed}}, true},
		{"a later session, at an older token", Report{Session: 2, Seq: 1, Token: token - 1}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, m := newMachine()
			m.Session, m.Seq = 1, 4
			placeTask(m, 3, 0)
			events := applyReport(m, c.report)
			gone := slices.ContainsFunc(events, func(e Event) bool { return e.Kind == EventGone })
			if gone != c.gone || (len(m.Tasks) == 0) != c.gone || (m.Free == m.Capacity) != c.gone {
				t.Errorf("task reported gone: %v; the machine has %d tasks and %v free", gone, len(m.Tasks), m.Free)
			}
		})
	}
}

func TestOutdatedReportsAreNotNewer(t *testing.T) {
	_, m := newMachine()
	m.Session, m.Seq = 2, 10
	for _, c := range []struct {
		session, seq uint64
		newer        bool
	}{{1, 99, false}, {2, 10, false}, {2, 11, true}, {3, 1, true}} {
		if got := m.IsNewer(&Report{Session: c.session, Seq: c.seq}); got != c.newer {
			t.Errorf("session %d, number %d: IsNewer returned %v", c.session, c.seq, got)
		}
	}
}

// Nothing is offered to a machine before the job's grant on it and the intent to start the task are durable.
func TestOffersWaitForDurableGrantAndIntent(t *testing.T) {
	_, m := newMachine()
	p := &Placement{Ref: TaskRef{Job: 3}, JobID: 3, Need: resources.Need(1, 0, 1)}
	m.Plan(p)
	next := counter()
	m.Grants[3] = false
	if got := m.Offer([]*Machine{m}, next, next); len(got) != 0 || !m.AwaitsDurability() {
		t.Errorf("offered %v before the grant is durable", got)
	}
	m.Grants[3] = true
	if got := m.Offer([]*Machine{m}, next, next); len(got) != 0 || !m.AwaitsDurability() {
		t.Errorf("offered %v before the intent is durable", got)
	}
	p.IntentDurable = true
	if got := m.Offer([]*Machine{m}, next, next); len(got) != 1 || m.AwaitsDurability() {
		t.Errorf("offered %v once both are durable", got)
	}
}

// A grant counts as unused only after a period in which no task of the job was placed on the machine,
// planned on it or offered to it, and no report listed one, orphans included.
func TestUnusedGrants(t *testing.T) {
	_, m := newMachine()
	m.Grants = map[uint64]bool{1: true, 2: true, 3: true, 4: true, 5: false}
	placeTask(m, 1, 0)
	m.Plan(&Placement{Ref: TaskRef{Job: 2}, JobID: 2, Need: resources.Need(1, 0, 1)})
	orphan := Report{Tasks: []TaskReport{{Job: 3, State: Running}}}
	if got := m.UnusedGrants(0, 8*time.Second, &orphan); len(got) != 0 {
		t.Errorf("grants %v are unused at once, want none", got)
	}
	if got := m.UnusedGrants(9*time.Second, 8*time.Second, &orphan); !slices.Equal(got, []uint64{4}) {
		t.Errorf("grants %v are unused after 9 s, want only job 4", got)
	}
	if got := m.UnusedGrants(9*time.Second, 8*time.Second, &Report{}); !slices.Equal(got, []uint64{4}) {
		t.Errorf("grants %v are unused when the orphan has just gone, want only job 4", got)
	}
	if got := m.UnusedGrants(18*time.Second, 8*time.Second, &Report{}); !slices.Equal(got, []uint64{3, 4}) {
		t.Errorf("grants %v are unused 9 s after the orphan went, want jobs 3 and 4", got)
	}
}

// A machine is settled only when nothing is in flight to it or on its behalf. A plan of the machine that is
// offered to another machine of the shard is in flight: if the machine were moved to another shard, the
// task would be offered there too and could be started twice.
func TestSettledNeedsNoOpenOfferOrStart(t *testing.T) {
	inventory, m := newMachine()
	other := inventory.Add(&Machine{Name: "other", Capacity: m.Capacity, Durable: true, Shard: m.Shard})
	if !m.Quiescent() {
		t.Error("an empty machine is not settled")
	}
	p := &Placement{Ref: TaskRef{Job: 1}, JobID: 1, Need: resources.Need(1, 0, 1), IntentDurable: true}
	m.Plan(p)
	if !m.Quiescent() {
		t.Error("the machine is not settled although its plan is not offered")
	}
	other.Grants[1] = true
	other.UseImage(0, 1, 0)
	next := counter()
	if len(other.Offer([]*Machine{m}, next, next)) != 1 {
		t.Fatal("the plan is not offered to the other machine")
	}
	if m.Quiescent() || other.Quiescent() {
		t.Error("a machine is settled although the offer is open")
	}
	other.Session, other.Seq = 1, 1
	applyReport(other, Report{Session: 1, Seq: 2, Token: token})
	if !m.Quiescent() || !other.Quiescent() {
		t.Error("a machine is not settled although the offer is resolved")
	}
	placed := placeTask(other, 2, 0)
	if other.Quiescent() {
		t.Error("the machine is settled although no report has shown the started task yet")
	}
	placed.Reported = true
	if !other.Quiescent() {
		t.Error("the machine is not settled although a report has shown its task")
	}
}

// A suspect machine is unreachable only if a higher token was issued to it, it has sent a report since, and
// enough time has passed since the token was issued. Time in an outage, in which no token can be issued,
// must not count against it.
func TestUnreachableCountsFromTokenIssued(t *testing.T) {
	m := NewInventory().Add(&Machine{Name: "m", Token: 5, Up: true, LastHeartbeat: time.Second})
	m.CheckStale(10*time.Second, 5*time.Second)
	m.LastHeartbeat = 60 * time.Second
	if m.SuspectBelow != 5 || m.Unreachable(60*time.Second, 20*time.Second) {
		t.Fatal("unreachable although no token was issued to it yet")
	}
	if !m.TakeTokenRequest(61*time.Second) || m.Unreachable(90*time.Second, 20*time.Second) {
		t.Fatal("unreachable although it has not reported since")
	}
	m.LastHeartbeat = 62 * time.Second
	if m.Unreachable(70*time.Second, 20*time.Second) || !m.Unreachable(82*time.Second, 20*time.Second) {
		t.Error("unreachable must begin 20 s after the token was issued")
	}
}

// TestLapseEndsWithLaterSession: a worker is left without answers only while nothing is on its machine, and is trusted
// at once when its lease has expired as intended.
func TestLapseEndsWithLaterSession(t *testing.T) {
	_, m := newMachine()
	applyReport(m, Report{Session: FirstSession, Seq: 1, Token: token})
	p := placeTask(m, 7, 1)
	if m.CanLapse() {
		t.Error("the lease may lapse although a task is on the machine")
	}
	m.RemovePlacement(p.Ref)
	if !m.CanLapse() {
		t.Fatalf("the lease of an empty machine may not lapse: %+v", m)
	}
	m.BeginLapse(time.Second)
	if m.AcceptsPlans(0, time.Hour) {
		t.Error("tasks may be planned on a machine whose lease lapses")
	}
	applyReport(m, Report{Session: FirstSession, Seq: 2, Token: token})
	if !m.Lapsing {
		t.Error("the lapse ends before the session does")
	}
	applyReport(m, Report{Session: FirstSession + 1, Seq: 3, Token: token})
	if m.Lapsing || m.SuspectBelow > 0 || !m.AcceptsPlans(0, time.Hour) || m.InFirstSession() || m.CanLapse() {
		t.Errorf("after the lapse: %+v", m)
	}
}

// TestLapseIsGivenUp: a worker that is kept alive by another controller is answered again.
func TestLapseIsGivenUp(t *testing.T) {
	_, m := newMachine()
	m.BeginLapse(time.Second)
	m.EndLapseAfter(time.Minute, time.Hour)
	if !m.Lapsing {
		t.Error("the lapse is given up too early")
	}
	m.EndLapseAfter(2*time.Hour, time.Hour)
	if m.Lapsing || m.CanLapse() {
		t.Errorf("lapsing: %v; it may lapse again: %v", m.Lapsing, m.CanLapse())
	}
}
