package reconcile

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

// referenceTask is a second implementation of Task. It derives the resolution directly from the guarantees,
// without classifying the difference.
func referenceTask(stored StoredTask, reported ReportedTask) Resolution {
	r := referenceTaskWithoutDirect(stored, reported)
	if stored.DirectMayArrive && (r == Reap || r == ReleaseAndReap) {
		return Wait // a late copy of the start could run the forgotten attempt again
	}
	return r
}

func referenceTaskWithoutDirect(stored StoredTask, reported ReportedTask) Resolution {
	placed := stored.Known && stored.PlacedHere && stored.Attempt == reported.Attempt
	if !reported.Ended {
		if placed {
			return Keep
		}
		// It may continue only if it is not placed anywhere else and its job still needs it.
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
		return Wait // a result must not be reaped before it is durable
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
		return ReleaseAll // only a new incarnation has this token together with numbers already used
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

// randomStates generates random inputs for the functions that classify differences.
type randomStates struct{ *rand.Rand }

// oneIn returns true with probability 1/n.
func (r randomStates) oneIn(n int) bool { return r.IntN(n) == 0 }

// below returns a random number in [0, n).
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

// On random states the table gives the same resolution as the reference, and every row of it occurs.
func TestTableAgreesWithReference(t *testing.T) {
	random := randomStates{rand.New(rand.NewPCG(1, 1))}
	var counts Tally
	for range 200_000 {
		stored, reported := random.storedTask(), random.reportedTask()
		diff := counts.Count(Task(stored, reported))
		if got, want := diff.Resolution(), referenceTask(stored, reported); got != want {
			t.Fatalf("%+v reported as %+v: %v with resolution %v, want %v", stored, reported, diff, got, want)
		}
		m := random.machine()
		diff = counts.Count(Report(m))
		if got, want := diff.Resolution(), referenceReport(m); got != want {
			t.Fatalf("%+v: %v with resolution %v, want %v", m, diff, got, want)
		}
		counts.Count(Absent(AbsentTask{
			LaterSession: random.oneIn(2), SentDirectly: random.oneIn(2), MayArrive: random.oneIn(2), Current: random.oneIn(2),
		}))
		counts.Count(Gang(random.below(3), 1+random.below(2)))
	}
	for d := range DiffCount {
		if counts[d] == 0 {
			t.Errorf("difference %v never occurred", d)
		}
	}
}

// No state of a known task may lead to one of two wrong resolutions: to have a worker forget a result that
// is not durable yet, or to let an attempt continue although the task is placed elsewhere.
func TestNoResultLostAndNoTaskRunTwice(t *testing.T) {
	for bits := range 1 << 11 {
		bit := func(i int) bool { return bits>>i&1 == 1 }
		stored := StoredTask{
			Known:           bit(0),
			Open:            bit(1),
			Durable:         bit(2),
			Cancelled:       bit(3),
			Held:            bit(4),
			PlacedElsewhere: bit(5),
			PlacedHere:      bit(6),
			Attempt:         1,
		}
		openAndOver := stored.Open && (stored.Durable || stored.PlacedElsewhere)
		placedTwice := stored.PlacedHere && stored.PlacedElsewhere
		if openAndOver || placedTwice || (stored.Cancelled && !stored.Durable) {
			continue // impossible state
		}
		reported := ReportedTask{
			Attempt:   1 + uint64(bits>>7&1),
			Ended:     bit(8),
			Completed: bit(8) && bit(9),
			Saving:    !bit(8) && bit(10),
		}
		r := Task(stored, reported).Resolution()
		if reported.Completed && stored.Known && !stored.Durable && (r == Reap || r == ReleaseAndReap) {
			t.Errorf("%+v reported as %+v: a result would be lost", stored, reported)
		}
		if !reported.Ended && stored.PlacedElsewhere && r != Stop {
			t.Errorf("%+v reported as %+v: the task would run twice", stored, reported)
		}
	}
}

// docs/cold-start.md must contain the table of the code word for word.
func TestTableMatchesColdStartDocument(t *testing.T) {
	document, err := os.ReadFile("../../../docs/cold-start.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, r := range table {
		if r.label == "" || r.proof == "" || seen[r.label] {
			t.Errorf("label %q: every row needs a unique label and a proof", r.label)
		}
		seen[r.label] = true
		line := fmt.Sprintf("| `%s` | %s | %s | %v | %s |", r.label, r.stored, r.reported, r.resolution, r.proof)
		if !strings.Contains(string(document), line) {
			t.Errorf("docs/cold-start.md lacks this row of the table:\n%s", line)
		}
	}
}
