package reconcile

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

// referenceTask is a second version of Task: what is to be done, from the promises alone,
// without naming any difference.
func referenceTask(st StoredTask, sh ReportedTask) Resolution {
	s := referenceTaskWithoutDirect(st, sh)
	if st.DirectMayArrive && (s == Reap || s == ReleaseAndReap) {
		return Wait // what is forgotten could be started by a copy of the command
	}
	return s
}

func referenceTaskWithoutDirect(st StoredTask, sh ReportedTask) Resolution {
	counts := st.Known && st.PlacedHere && st.Attempt == sh.Attempt
	if !sh.Ended {
		if counts {
			return Keep
		}
		// It may stay only if nothing else stands for it and its job wants it.
		if st.Known && st.Open && !st.PlacedHere && !st.PlacedElsewhere && !st.Cancelled && !st.Held {
			return Adopt
		}
		return Stop
	}
	if !st.Known {
		return Reap
	}
	if sh.Completed && st.Open {
		return RecordCompletion
	}
	if sh.Completed && !st.Durable {
		return Wait // a result that is nowhere durable must not be reaped
	}
	if counts {
		return ReleaseAndReap
	}
	return Reap
}

func referenceReport(m Machine) Resolution {
	if m.ReportEpoch > m.Epoch {
		return StepDown
	}
	if m.Gone || (!m.Known && !m.Typed) {
		return Ignore
	}
	if !m.Known {
		return Register
	}
	later := m.ReportSession > m.Session || (m.ReportSession == m.Session && m.ReportNumber > m.Number)
	if !later && m.Doubt > 0 && m.ReportToken > m.Doubt {
		return Forget // a token that only one who lives now can have, and numbers that the one before has used up
	}
	if !later || m.ReportToken < m.Seen {
		return Ignore
	}
	if m.Session > 0 && m.ReportSession != m.Session {
		return Forget
	}
	if m.Leaving {
		return ContinueDeletion
	}
	if m.ReportToken == m.Token {
		return Keep
	}
	return ApplyPresent
}

// On random states the table decides what the plain version does, and every one of its
// lines is met.
func TestTableAgreesWithReference(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	coin := func() bool { return r.IntN(2) == 0 }
	var met Tally
	for range 200_000 {
		st := StoredTask{Known: r.IntN(8) > 0}
		if st.Known {
			st.Cancelled, st.Held = r.IntN(5) == 0, r.IntN(8) == 0
			st.Durable = st.Cancelled || r.IntN(4) == 0
			st.PlacedElsewhere = r.IntN(4) == 0
			st.PlacedHere = !st.PlacedElsewhere && coin()
			st.Open = !st.Cancelled && !st.Held && !st.Durable && !st.PlacedElsewhere && r.IntN(5) > 0
			if st.PlacedHere {
				st.Attempt = uint64(1 + r.IntN(2))
			}
		}
		st.DirectMayArrive = r.IntN(6) == 0
		sh := ReportedTask{Attempt: uint64(1 + r.IntN(2)), Ended: coin()}
		if sh.Ended {
			sh.Completed = coin()
			sh.Saved = !sh.Completed && coin()
		} else {
			sh.Saving = coin()
		}
		d := met.Count(Task(st, sh))
		if got, want := d.Resolution(), referenceTask(st, sh); got != want {
			t.Fatalf("%+v shown as %+v: %v, so %v; plainly %v", st, sh, d, got, want)
		}
		m := Machine{Gone: r.IntN(6) == 0, Known: coin(), Typed: coin(), Leaving: r.IntN(4) == 0, Epoch: 2, ReportEpoch: uint64(r.IntN(4)),
			Session: uint64(r.IntN(3)), Number: uint64(r.IntN(3)), Token: uint64(r.IntN(2)), ReportSession: uint64(r.IntN(3)), ReportNumber: uint64(r.IntN(3)), ReportToken: uint64(r.IntN(3)), Seen: uint64(r.IntN(2)), Doubt: uint64(r.IntN(3) / 2)}
		d = met.Count(Report(m))
		if got, want := d.Resolution(), referenceReport(m); got != want {
			t.Fatalf("%+v: %v, so %v; plainly %v", m, d, got, want)
		}
		met.Count(Absent(coin(), coin(), coin()))
		met.Count(Gang(uint64(r.IntN(3)), uint64(1+r.IntN(2))))
	}
	for d := range Kinds {
		if met[d] == 0 {
			t.Errorf("%v was never met", d)
		}
	}
}

// Two things must never be told to a worker, whatever is stored: to forget a result
// that is nowhere durable, and to go on with a task that counts elsewhere.
func TestNoResultLostAndNoTaskRunTwice(t *testing.T) {
	for bits := range 1 << 11 {
		on := func(i int) bool { return bits>>i&1 == 1 }
		st := StoredTask{Known: on(0), Open: on(1), Durable: on(2), Cancelled: on(3), Held: on(4), PlacedElsewhere: on(5), PlacedHere: on(6), Attempt: 1}
		if (st.Open && (st.Durable || st.PlacedElsewhere)) || (st.PlacedHere && st.PlacedElsewhere) || (st.Cancelled && !st.Durable) {
			continue // no such state
		}
		sh := ReportedTask{Attempt: 1 + uint64(bits>>7&1), Ended: on(8), Completed: on(8) && on(9), Saving: !on(8) && on(10)}
		s := Task(st, sh).Resolution()
		if sh.Completed && st.Known && !st.Durable && (s == Reap || s == ReleaseAndReap) {
			t.Errorf("%+v, %+v: a result is lost", st, sh)
		}
		if !sh.Ended && st.PlacedElsewhere && s != Stop {
			t.Errorf("%+v, %+v: it would run twice", st, sh)
		}
	}
}

// The note has the table as the code has it.
func TestTableMatchesColdStartDocument(t *testing.T) {
	raw, err := os.ReadFile("../../../docs/cold-start.md")
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, r := range table {
		line := fmt.Sprintf("| `%s` | %s | %s | %v | %s |", r.label, r.stored, r.reported, r.resolution, r.proof)
		if r.label == "" || r.proof == "" || seen[r.label] {
			t.Errorf("%q: a name of its own and a proof are needed", r.label)
		}
		seen[r.label] = true
		if !strings.Contains(string(raw), line) {
			t.Errorf("docs/cold-start.md lacks\n%s", line)
		}
	}
}
