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

// When most machines are silent, the fault is attributed to their zones if the machines of
// another zone do report. Otherwise it may be on the leader's side.
func TestMostMachinesSilent(t *testing.T) {
	for _, c := range []struct {
		name       string
		up, silent []int // by zone
		want       bool
	}{
		{"all machines report", []int{30, 40}, []int{0, 0}, false},
		{"the larger zone is cut off", []int{30, 40}, []int{1, 40}, false},
		{"two of three zones are cut off", []int{20, 40, 40}, []int{0, 40, 39}, false},
		{"two of three controllers do not reach the leader", []int{30, 40}, []int{20, 27}, true},
		{"a zone with very few machines reports", []int{3, 40}, []int{0, 40}, true},
		{"no machine reports", []int{30, 40}, []int{30, 40}, true},
		{"fewer than half are silent", []int{30, 40}, []int{14, 19}, false},
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

// Lowering a team's limit cancels plans that exceed it, the last tasks first. The plans of a
// gang are cancelled together or not at all. Tasks that have left the planned state stay.
func TestLowerLimitCancelsPlans(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    uint8
		begun   int // tasks that have left the planned state
		limit   float64
		planned int // plans that remain, of six tasks
	}{
		{"an array", jobs.Array, 2, 4, 2},
		{"an array whose begun tasks exceed the limit", jobs.Array, 4, 3, 0},
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
				t.Errorf("%d planned and %d begun tasks remain, want %d and %d", planned, begun, c.planned, c.begun)
			}
		})
	}
}

// newPlannedState returns a state with one job of six single-processor tasks on one machine.
// begun is the number of tasks, counted from the first, that have begun; the others are planned.
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

// The tokens of a term never run into those of the next term: push dispatch stops taking
// tokens first, and the term ends before all of its tokens are issued.
func TestTokensStayWithinTheirTerm(t *testing.T) {
	s := New(TermStart{Cfg: &settings.Settings{}, Epoch: 3, Counts: &Counts{}})
	lowAt, issued := 0, 0
	for ; !s.TokensExhausted(); issued++ {
		if s.NextToken()>>TokenBits != 3 {
			t.Fatalf("token %d belongs to another term", issued)
		}
		if lowAt == 0 && s.TokensRunLow() {
			lowAt = issued
		}
	}
	if remaining := 1<<TokenBits - issued; remaining < 50_000 || lowAt == 0 || lowAt > issued/10*9 {
		t.Errorf("tokens run low from number %d on and are exhausted with %d left", lowAt, remaining)
	}
}
