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

// Most machines are silent. That is a fault of the zones they are in where another one is
// heard well, and perhaps the leader's own otherwise.
func TestMostMachinesSilent(t *testing.T) {
	for _, c := range []struct {
		name       string
		up, silent []int // by zone
		want       bool
	}{
		{"all are heard", []int{30, 40}, []int{0, 0}, false},
		{"the larger zone is cut off", []int{30, 40}, []int{1, 40}, false},
		{"two of three zones are cut off", []int{20, 40, 40}, []int{0, 40, 39}, false},
		{"two of three controllers do not reach us", []int{30, 40}, []int{20, 27}, true},
		{"a zone with next to nobody in it is heard", []int{3, 40}, []int{0, 40}, true},
		{"nobody is heard", []int{30, 40}, []int{30, 40}, true},
		{"less than half are silent", []int{30, 40}, []int{14, 19}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := &settings.Settings{Tunables: settings.Defaults()}
			cfg.Deployment.Workers.ReportS = 1
			s := New(TermStart{Cfg: cfg, Counts: &Counts{}})
			now := time.Minute
			for zone, machines := range c.up {
				s.Zones.Index(fmt.Sprint(zone))
				for i := range machines {
					m := s.Inventory.Add(&workers.Machine{
						Name:          fmt.Sprint(zone, " ", i),
						Zone:          int32(zone),
						Up:            true,
						LastHeartbeat: now,
					})
					if i < c.silent[zone] {
						m.LastHeartbeat = now - 10*time.Second
					}
				}
			}
			if got := s.MostMachinesSilent(now); got != c.want {
				t.Errorf("most machines silent: %v, want %v", got, c.want)
			}
		})
	}
}

// A lower limit cancels plans above it, the last tasks first, and of a gang all or none; what
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
		t.Run(c.name, func(t *testing.T) {
			s := newPlannedState(c.kind, c.begun)
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
				t.Errorf("%d planned and %d others are left, want %d and %d", planned, begun, c.planned, c.begun)
			}
		})
	}
}

// newPlannedState is a state with one job of six tasks of one processor on a machine, of
// which the first ones have begun and the others are planned.
func newPlannedState(kind uint8, begun int) *State {
	cfg := &settings.Settings{Tunables: settings.Defaults()}
	cfg.Deployment.Teams = []settings.Team{{Name: "team", CPUsMax: 20}}
	s := New(TermStart{Cfg: cfg, Counts: &Counts{}})
	j := s.Jobs.Add(eventlog.Job{ID: 1, Team: "team", Kind: kind, Tasks: 6, CPUs: 1})
	j.Phase, j.Need = jobs.Open, resources.Need(1, 0, 0)
	m := s.Inventory.Add(&workers.Machine{
		Name:     "m",
		Up:       true,
		Capacity: resources.Room(9, 0, 9),
		Free:     resources.Room(9, 0, 9),
	})
	for k := range 6 {
		ref := workers.TaskRef{Job: j.Index, Task: int32(k)}
		p := &workers.Placement{Ref: ref, JobID: 1, Need: j.Need, Machine: m}
		m.Plan(p)
		p.Planned = k >= begun
		s.Placements[p.Ref] = p
		s.Scheduler.Charge(j.Team, j.Need)
		j.Place(k)
	}
	return s
}

// Tokens of a term never reach those of the next: push dispatch stops asking for them first,
// and the term ends before they are out.
func TestTokensStayWithinTheirTerm(t *testing.T) {
	s := New(TermStart{Cfg: &settings.Settings{}, Epoch: 3, Counts: &Counts{}})
	low, issued := 0, 0
	for ; !s.TokensExhausted(); issued++ {
		if s.NextToken()>>TokenBits != 3 {
			t.Fatalf("token %d is one of another term", issued)
		}
		if low == 0 && s.TokensRunLow() {
			low = issued
		}
	}
	if left := 1<<TokenBits - issued; left < 50_000 || low == 0 || low > issued/10*9 {
		t.Errorf("tokens run low from %d on, exhausted with %d left", low, left)
	}
}
