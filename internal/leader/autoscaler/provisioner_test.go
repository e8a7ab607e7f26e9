package autoscaler

import (
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
)

var (
	small = eventlog.MachineType{Name: "small", CPUs: 4, Price: 0.16, SpotPrice: 0.04, BootS: 50, Zones: []string{"a", "b"}}
	large = eventlog.MachineType{Name: "large", CPUs: 16, Price: 0.69, SpotPrice: 0.18, BootS: 20, Zones: []string{"b"}}
)

func fitsAnywhere(eventlog.MachineType, string, bool) bool { return true }

// demandOf returns a demand of this many processors that any machine may cover; zone a has more
// capacity.
func demandOf(cpus float64, spot bool) Demand {
	return Demand{CPUs: cpus, Spot: spot, UsualRentalS: 120, CPUsByZone: map[string]float64{"a": 8}, Fits: fitsAnywhere}
}

// The boot time is paid for as well. For much work the type that boots faster is the cheapest,
// and for little work the small type, since the large one would stay mostly empty. Of two zones,
// the one with less capacity is chosen.
func TestRentChoosesTheCheapestOffer(t *testing.T) {
	for _, c := range []struct {
		name string
		cpus float64
		want eventlog.Rental
	}{
		{"32 processors", 32, eventlog.Rental{Name: "r-1-1", Type: "large", Zone: "b", Count: 2}},
		{"4 processors", 4, eventlog.Rental{Name: "r-1-1", Type: "small", Zone: "b", Count: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := NewProvisioner("r-1").Rent(0, []eventlog.MachineType{small, large}, demandOf(c.cpus, false))
			if len(got) != 1 || got[0] != c.want {
				t.Errorf("requests are %+v, want %+v", got, c.want)
			}
		})
	}
}

// A refused offer is excluded for a while, then requested again; a request name is never used
// twice.
func TestRentBacksOffAfterARefusal(t *testing.T) {
	provisioner := NewProvisioner("r-1")
	types := []eventlog.MachineType{large}
	first := provisioner.Rent(0, types, demandOf(16, true))
	if again := provisioner.Rent(0, types, demandOf(16, true)); len(again) != 0 {
		t.Errorf("requested again before the answer: %+v", again)
	}
	provisioner.RequestAnswered(0, first[0].Name, 0)
	if got := provisioner.Rent(time.Second, types, demandOf(16, true)); len(got) != 0 {
		t.Errorf("requested again right after a refusal: %+v", got)
	}
	got := provisioner.Rent(20*time.Second, types, demandOf(16, true))
	if len(got) != 1 || got[0].Name == first[0].Name {
		t.Errorf("requests after the backoff are %+v", got)
	}
}

// A zone that seems cut off is excluded until the given time has passed.
func TestRentLeavesOutAvoidedZones(t *testing.T) {
	types := []eventlog.MachineType{{Name: "t", CPUs: 4, Price: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}
	provisioner := NewProvisioner("r")
	demand := Demand{CPUs: 4, UsualRentalS: 100, CPUsByZone: map[string]float64{"a": 1, "b": 9}, Fits: fitsAnywhere}
	provisioner.AvoidZone("a", 10*time.Second)
	if got := provisioner.Rent(5*time.Second, types, demand); len(got) != 1 || got[0].Zone != "b" {
		t.Errorf("rented %v while zone a is avoided", got)
	}
	if got := provisioner.Rent(11*time.Second, types, demand); len(got) != 1 || got[0].Zone != "a" {
		t.Errorf("rented %v after the avoidance of zone a has ended", got)
	}
}
