package cluster

import (
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/settings"
	"bitternmoor/internal/workers"
)

// Most machines are silent. That is a fault of the zones they are in where another
// one is heard well, and perhaps our own otherwise.
func TestDeaf(t *testing.T) {
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
		s := New(Start{Cfg: cfg, Counts: &Counts{}})
		now := time.Minute
		for z, n := range c.up {
			s.Zones.Index(fmt.Sprint(z))
			for i := range n {
				m := s.Yard.Add(&workers.Machine{Name: fmt.Sprint(z, " ", i), Zone: int32(z), Up: true, Heard: now})
				if i < c.mute[z] {
					m.Heard = now - 10*time.Second
				}
			}
		}
		if got := s.Deaf(now); got != c.deaf {
			t.Errorf("%s: deaf %v", c.name, got)
		}
	}
}

// Tokens of a term never reach those of the next: direct starts stop asking for them
// first, and the term ends before they are out.
func TestTokensOfATerm(t *testing.T) {
	s := New(Start{Cfg: &settings.Settings{}, Epoch: 3, Counts: &Counts{}})
	few, n := 0, 0
	for ; !s.Spent(); n++ {
		if s.NextToken()>>TokenBits != 3 {
			t.Fatalf("token %d is one of another term", n)
		}
		if few == 0 && s.FewTokens() {
			few = n
		}
	}
	if left := 1<<TokenBits - n; left < 50_000 || few == 0 || few > n/10*9 {
		t.Errorf("few from %d on, spent with %d left", few, left)
	}
}
