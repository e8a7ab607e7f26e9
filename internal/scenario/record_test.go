package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/settings"
	"bitternmoor/internal/wire"
)

// TestRecordNights simulates nights of several kinds of jobs, with a peak load, a leader
// crash and one night on which all jobs run slowly. It writes the run-time facts that the
// leaders logged to the file that RECORD names. The choice of the key that identifies
// "the same job" was evaluated on that file (internal/runtimes/testdata).
func TestRecordNights(t *testing.T) {
	path := os.Getenv("RECORD")
	if path == "" {
		t.Skip("RECORD is not set")
	}
	var out bytes.Buffer
	id := uint64(0)
	r := rand.New(rand.NewPCG(7, 7))
	base := map[string]float64{}
	for night := range 9 {
		c := baseSettings()
		c.Tunables.RunTimesKinds = 500
		c.Deployment.Teams = []settings.Team{{Name: "t0"}, {Name: "t1"}}
		c.Deployment.State.WriteRPS = 60
		s := newSimAt(time.Duration(night)*24*time.Hour+20*time.Hour, c, uint64(night), 3, false)
		s.cloud.capacity = 60
		slow := 1.0
		if night == 5 {
			slow = 2.5
		}
		for n := range 45 {
			id++
			class, team, image := fmt.Sprint("class", r.IntN(3)), fmt.Sprint("t", r.IntN(2)), fmt.Sprint("image", r.IntN(8))
			tasks := []int{6, 24}[r.IntN(2)]
			key := class + image // one image does different work in different classes
			if base[key] == 0 {
				base[key] = 6 * math.Exp(.6*r.NormFloat64())
			}
			took := base[key] * map[bool]float64{false: 1, true: 1.25}[tasks > 10] * math.Exp(.08*r.NormFloat64()) * slow
			owner := base[key] * .6 * math.Exp(.5*r.NormFloat64())
			job := &eventlog.Job{
				ID: id, Class: class, Team: team, Priority: 1, Tasks: tasks, CPUs: 1, MemoryGB: 1,
				Image: image, ImageGB: .3, Spot: true, EstimateS: owner,
			}
			j := &userJob{id: id, runTime: time.Duration(took * float64(time.Second)), spec: wire.Submission{ID: id, HasID: true, Job: job}}
			s.jobs[id] = j
			at := time.Duration(n) * 8 * time.Second
			if n > 20 && n < 35 {
				at = time.Duration(160+n) * time.Second // the peak load
			}
			s.after(at, func() { s.submit(j, n%3, func() bool { return true }) })
		}
		s.after(150*time.Second, func() {
			if l := s.leader(); l != nil {
				l.crash()
				s.after(8*time.Second, func() { l.start(false) })
			}
		})
		s.state.durableFacts = map[uint64]bool{}
		s.state.onFact = func(raw json.RawMessage) { fmt.Fprintln(&out, string(raw)) }
		s.run(15 * time.Minute)
		if len(s.check.violations) > 0 {
			t.Fatal(s.check.violations)
		}
		t.Logf("night %d: %d facts", night, len(s.state.durableFacts))
	}
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	slices.SortFunc(lines, bytes.Compare)
	lines = slices.CompactFunc(lines, bytes.Equal)
	if err := os.WriteFile(path, append(bytes.Join(lines, []byte("\n")), '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
}
