package cluster

import (
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/settings"
)

// Most machines are silent. That is a fault of the zones they are in where another
// one is heard well, and perhaps our own otherwise.
func TestMostMachinesSilent(t *testing.T) {
	for _, c := range []struct {
		name     string
		up, mute []int // by zone
		deaf     bool
	}{
		{"all are heard", []int{30, 40}, []int{0, 0}, false},
		{"the larger zone is cut off", []int{30, 40}, []int{1, 40}, false},
		{"two of three zones are cut off", []int{20, 40, 40}, []int{0, 40, 39}, false},
		{"two of three controllers do not reach us", []int{30, 40}, []int{20, 27}, true},
		{"a zone with next to nobody in it is heard", []int{3, 40}, []int{0, 40}, true},
		{"nobody is heard", []int{30, 40}, []int{30, 40}, true},
		{"less than half are silent", []int{30, 40}, []int{14, 19}, false},
	} {
		cfg := &settings.Settings{Tunables: settings.Defaults()}
		cfg.Deployment.Workers.ReportS = 1
		s := New(TermStart{Cfg: cfg, Counts: &Counts{}})
		now := time.Minute
		for z, n := range c.up {
			s.Zones.Index(fmt.Sprint(z))
			for i := range n {
				m := s.Inventory.Add(&workers.Machine{Name: fmt.Sprint(z, " ", i), Zone: int32(z), Up: true, LastHeartbeat: now})
				if i < c.mute[z] {
					m.LastHeartbeat = now - 10*time.Second
				}
			}
		}
		if got := s.MostMachinesSilent(now); got != c.deaf {
			t.Errorf("%s: deaf %v", c.name, got)
		}
	}
}

// A lower limit takes back plans above it, the last tasks first, and of a gang all or none; what
// is not planned any more stays.
func TestLowerLimitCancelsPlans(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    uint8
		begun   int // tasks that are planned no more
		limit   float64
		planned int // that are left of six tasks
	}{
		{"an array", jobs.Array, 2, 4, 2},
		{"an array that uses more than that", jobs.Array, 4, 3, 0},
		{"within the limit", jobs.Array, 2, 6, 4},
		{"no limit", jobs.Array, 2, 0, 4},
		{"a gang that has not begun", jobs.Gang, 0, 4, 0},
		{"a gang that has begun", jobs.Gang, 1, 4, 5},
	} {
		cfg := &settings.Settings{Tunables: settings.Defaults()}
		cfg.Deployment.Teams = []settings.Team{{Name: "team", CPUsMax: 20}}
		s := New(TermStart{Cfg: cfg, Counts: &Counts{}})
		j := s.Jobs.Add(eventlog.Job{ID: 1, Team: "team", Kind: c.kind, Tasks: 6, CPUs: 1})
		j.Phase, j.Need = jobs.Open, resources.Need(1, 0, 0)
		m := s.Inventory.Add(&workers.Machine{Name: "m", Up: true, Cap: resources.Room(9, 0, 9), Free: resources.Room(9, 0, 9)})
		for k := range 6 {
			p := &workers.Placement{Ref: workers.Ref{Job: j.Index, Task: int32(k)}, JobID: 1, Need: j.Need, Machine: m}
			m.Plan(p)
			p.Planned = k >= c.begun
			s.Placements[p.Ref] = p
			s.Scheduler.Charge(j.Team, j.Need)
			j.Place(k)
		}
		s.SetTeam(settings.Team{Name: "team", CPUsMax: c.limit})
		planned, begun := 0, 0
		for _, p := range s.Placements {
			if p.Planned {
				planned++
			} else {
				begun++
			}
		}
		if planned != c.planned || begun != c.begun {
			t.Errorf("%s: %d planned and %d others are left", c.name, planned, begun)
		}
	}
}

// Tokens of a term never reach those of the next: direct starts stop asking for them
// first, and the term ends before they are out.
func TestTokensStayWithinTheirTerm(t *testing.T) {
	s := New(TermStart{Cfg: &settings.Settings{}, Epoch: 3, Counts: &Counts{}})
	few, n := 0, 0
	for ; !s.TokensExhausted(); n++ {
		if s.NextToken()>>TokenBits != 3 {
			t.Fatalf("token %d is one of another term", n)
		}
		if few == 0 && s.TokensRunLow() {
			few = n
		}
	}
	if left := 1<<TokenBits - n; left < 50_000 || few == 0 || few > n/10*9 {
		t.Errorf("few from %d on, spent with %d left", few, left)
	}
}
