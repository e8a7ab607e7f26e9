package autoscaler

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
)

var small = eventlog.MachineType{Name: "small", CPUs: 4, Price: 0.16, SpotPrice: 0.04, BootS: 50, Zones: []string{"a", "b"}}
var large = eventlog.MachineType{Name: "large", CPUs: 16, Price: 0.69, SpotPrice: 0.18, BootS: 20, Zones: []string{"b"}}

func want(cpus float64, spot bool) Demand {
	return Demand{CPUs: cpus, Spot: spot, UsualStayS: 120, CPUsByZone: map[string]float64{"a": 8}, Fits: func(eventlog.MachineType, string, bool) bool { return true }}
}

// The boot is paid as well: the type that boots faster wins for much work,
// the smaller one where the large one would stay mostly empty; of two zones
// the one with less.
func TestChoice(t *testing.T) {
	b := NewProvisioner("r-1")
	got := b.Rent(0, []eventlog.MachineType{small, large}, want(32, false))
	if len(got) != 1 || got[0].Type != "large" || got[0].Count != 2 {
		t.Errorf("32 processors: %+v", got)
	}
	got = NewProvisioner("r-1").Rent(0, []eventlog.MachineType{small, large}, want(4, false))
	if len(got) != 1 || got[0].Type != "small" || got[0].Zone != "b" || got[0].Count != 1 {
		t.Errorf("4 processors: %+v", got)
	}
}

// An offer that was refused is left out for a while, then tried again; a name
// is never used twice.
func TestRefusal(t *testing.T) {
	b := NewProvisioner("r-1")
	types := []eventlog.MachineType{large}
	first := b.Rent(0, types, want(16, true))
	if again := b.Rent(0, types, want(16, true)); len(again) != 0 {
		t.Errorf("asked twice at once: %+v", again)
	}
	b.RequestAnswered(0, first[0].Name, 0)
	if got := b.Rent(time.Second, types, want(16, true)); len(got) != 0 {
		t.Errorf("asked again at once after a refusal: %+v", got)
	}
	got := b.Rent(20*time.Second, types, want(16, true))
	if len(got) != 1 || got[0].Name == first[0].Name {
		t.Errorf("later: %+v", got)
	}
}

// A zone that seems cut off is left out until the time has passed.
func TestAvoidedZone(t *testing.T) {
	types := []eventlog.MachineType{{Name: "t", CPUs: 4, Price: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}
	b := NewProvisioner("r")
	w := Demand{CPUs: 4, UsualStayS: 100, CPUsByZone: map[string]float64{"a": 1, "b": 9}, Fits: func(eventlog.MachineType, string, bool) bool { return true }}
	b.AvoidZone("a", 10*time.Second)
	if got := b.Rent(5*time.Second, types, w); len(got) != 1 || got[0].Zone != "b" {
		t.Errorf("rented %v while zone a is avoided", got)
	}
	if got := b.Rent(11*time.Second, types, w); len(got) != 1 || got[0].Zone != "a" {
		t.Errorf("rented %v after that", got)
	}
}
