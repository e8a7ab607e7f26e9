package reconcile

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

// referenceTask is a second implementation of Task: it derives what is to be done from the guarantees alone,
// without naming any difference.
func referenceTask(stored StoredTask, reported ReportedTask) Resolution {
	r := referenceTaskWithoutDirect(stored, reported)
	if stored.DirectMayArrive && (r == Reap || r == ReleaseAndReap) {
		return Wait // what is forgotten could be started by a copy of the command
	}
	return r
}

func referenceTaskWithoutDirect(stored StoredTask, reported ReportedTask) Resolution {
	placed := stored.Known && stored.PlacedHere && stored.Attempt == reported.Attempt
	if !reported.Ended {
		if placed {
			return Keep
		}
		// It may stay only if nothing else stands for it and its job wants it.
		wanted := stored.Known && stored.Open && !stored.Cancelled && !stored.Held
		if wanted && !stored.PlacedHere && !stored.PlacedElsewhere {
			return Adopt
		}
		return Stop
	}
	if !stored.Known {
		return Reap
	}
	if reported.Completed && stored.Open {
		return RecordCompletion
	}
	if reported.Completed && !stored.Durable {
		return Wait // a result that is nowhere durable must not be reaped
	}
	if placed {
		return ReleaseAndReap
	}
	return Reap
}

// referenceReport is a second implementation of Report.
func referenceReport(m Machine) Resolution {
	if m.ReportEpoch > m.Epoch {
		return StepDown
	}
	if m.Deleted || (!m.Known && !m.TypeKnown) {
		return Ignore
	}
	if !m.Known {
		return Register
	}
	newer := m.ReportSession > m.Session || (m.ReportSession == m.Session && m.ReportSeq > m.Seq)
	if !newer && m.SuspectBelow > 0 && m.ReportToken > m.SuspectBelow {
		return ReleaseAll // only the current incarnation can have that token, and the one before has used up the numbers
	}
	if !newer || m.ReportToken < m.HighestTokenSeen {
		return Ignore
	}
	if m.Session > 0 && m.ReportSession != m.Session {
		return ReleaseAll
	}
	if m.Deleting {
		return ContinueDeletion
	}
	if m.ReportToken == m.Token {
		return Keep
	}
	return ApplyPresent
}

// randomStates makes random inputs of the functions that name differences.
type randomStates struct{ *rand.Rand }

// oneIn is true once in n times, on average.
func (r randomStates) oneIn(n int) bool { return r.IntN(n) == 0 }

// below is a random number below n.
func (r randomStates) below(n int) uint64 { return uint64(r.IntN(n)) }

func (r randomStates) storedTask() StoredTask {
	st := StoredTask{Known: r.IntN(8) > 0}
	if st.Known {
		st.Cancelled, st.Held = r.oneIn(5), r.oneIn(8)
		st.Durable = st.Cancelled || r.oneIn(4)
		st.PlacedElsewhere = r.oneIn(4)
		st.PlacedHere = !st.PlacedElsewhere && r.oneIn(2)
		st.Open = !st.Cancelled && !st.Held && !st.Durable && !st.PlacedElsewhere && r.IntN(5) > 0
		if st.PlacedHere {
			st.Attempt = 1 + r.below(2)
		}
	}
	st.DirectMayArrive = r.oneIn(6)
	return st
}

func (r randomStates) reportedTask() ReportedTask {
	t := ReportedTask{Attempt: 1 + r.below(2), Ended: r.oneIn(2)}
	if t.Ended {
		t.Completed = r.oneIn(2)
		t.Saved = !t.Completed && r.oneIn(2)
	} else {
		t.Saving = r.oneIn(2)
	}
	return t
}

func (r randomStates) machine() Machine {
	return Machine{
		Deleted:          r.oneIn(6),
		Known:            r.oneIn(2),
		TypeKnown:        r.oneIn(2),
		Deleting:         r.oneIn(4),
		Epoch:            2,
		ReportEpoch:      r.below(4),
		Session:          r.below(3),
		Seq:              r.below(3),
		Token:            r.below(2),
		ReportSession:    r.below(3),
		ReportSeq:        r.below(3),
		ReportToken:      r.below(3),
		HighestTokenSeen: r.below(2),
		SuspectBelow:     r.below(3) / 2,
	}
}

// On random states the table decides what the reference decides, and every one of its rows is met.
func TestTableAgreesWithReference(t *testing.T) {
	random := randomStates{rand.New(rand.NewPCG(1, 1))}
	var met Tally
	for range 200_000 {
		stored, reported := random.storedTask(), random.reportedTask()
		diff := met.Count(Task(stored, reported))
		if got, want := diff.Resolution(), referenceTask(stored, reported); got != want {
			t.Fatalf("%+v reported as %+v: %v, so %v; the reference says %v", stored, reported, diff, got, want)
		}
		m := random.machine()
		diff = met.Count(Report(m))
		if got, want := diff.Resolution(), referenceReport(m); got != want {
			t.Fatalf("%+v: %v, so %v; the reference says %v", m, diff, got, want)
		}
		met.Count(Absent(random.oneIn(2), random.oneIn(2), random.oneIn(2)))
		met.Count(Gang(random.below(3), 1+random.below(2)))
	}
	for d := range Kinds {
		if met[d] == 0 {
			t.Errorf("%v was never met", d)
		}
	}
}

// Two resolutions are wrong whatever is stored: to have a worker forget a result that is nowhere durable, and
// to let a task go on that is placed elsewhere.
func TestNoResultLostAndNoTaskRunTwice(t *testing.T) {
	for bits := range 1 << 11 {
		on := func(i int) bool { return bits>>i&1 == 1 }
		stored := StoredTask{
			Known:           on(0),
			Open:            on(1),
			Durable:         on(2),
			Cancelled:       on(3),
			Held:            on(4),
			PlacedElsewhere: on(5),
			PlacedHere:      on(6),
			Attempt:         1,
		}
		openAndOver := stored.Open && (stored.Durable || stored.PlacedElsewhere)
		placedTwice := stored.PlacedHere && stored.PlacedElsewhere
		if openAndOver || placedTwice || (stored.Cancelled && !stored.Durable) {
			continue // no such state
		}
		reported := ReportedTask{
			Attempt:   1 + uint64(bits>>7&1),
			Ended:     on(8),
			Completed: on(8) && on(9),
			Saving:    !on(8) && on(10),
		}
		r := Task(stored, reported).Resolution()
		if reported.Completed && stored.Known && !stored.Durable && (r == Reap || r == ReleaseAndReap) {
			t.Errorf("%+v, %+v: a result is lost", stored, reported)
		}
		if !reported.Ended && stored.PlacedElsewhere && r != Stop {
			t.Errorf("%+v, %+v: it would run twice", stored, reported)
		}
	}
}

// docs/cold-start.md has the table as the code has it, word for word.
func TestTableMatchesColdStartDocument(t *testing.T) {
	document, err := os.ReadFile("../../../docs/cold-start.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, r := range table {
		if r.label == "" || r.proof == "" || seen[r.label] {
			t.Errorf("%q: a label of its own and a proof are needed", r.label)
		}
		seen[r.label] = true
		line := fmt.Sprintf("| `%s` | %s | %s | %v | %s |", r.label, r.stored, r.reported, r.resolution, r.proof)
		if !strings.Contains(string(document), line) {
			t.Errorf("docs/cold-start.md lacks\n%s", line)
		}
	}
}
