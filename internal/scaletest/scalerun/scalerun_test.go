package scalerun

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"bitternmoor/internal/scaletest/experiment"
	"bitternmoor/internal/scaletest/standin"
	"bitternmoor/internal/scaletest/traffic"
)

const root = "../../.."

func smoke(t *testing.T) *experiment.Experiment {
	t.Helper()
	e, err := experiment.LoadFile(filepath.Join(root, "experiments/smoke.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// TestScheduleRepeats checks that the same seed and size give the same schedule, and another seed a
// different one.
func TestScheduleRepeats(t *testing.T) {
	e := smoke(t)
	one, counts := schedule(e, 100, 1)
	again, _ := schedule(e, 100, 1)
	other, _ := schedule(e, 100, 2)
	if !reflect.DeepEqual(one, again) || reflect.DeepEqual(one, other) {
		t.Error("the schedule differs for the same seed, or is the same for another seed")
	}
	if counts.Jobs != len(one) || counts.Urgent == 0 || counts.Urgent == counts.Jobs || counts.Cancelled == 0 {
		t.Errorf("%+v", counts)
	}
	big, _ := schedule(e, 1000, 1)
	if ratio := float64(len(big)) / float64(len(one)); ratio < 6 || ratio > 15 {
		t.Errorf("ten times the workers have %.1f times the jobs, want about ten times", ratio)
	}
}

// TestSmallRun runs 100 workers with real controllers, two of the workers as processes, and kills the
// leader. It checks that all jobs are accepted and over, and that no rule is broken.
func TestSmallRun(t *testing.T) {
	dir := t.TempDir()
	build := func(name string) string {
		path := filepath.Join(dir, name)
		cmd := exec.Command("go", "build", "-o", path, "./cmd/"+name)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		return path
	}
	o := Options{Controller: build("bitternmoor"), Self: build("scalerun"), Log: slog.New(slog.DiscardHandler), Samples: io.Discard, Dir: dir}
	e := smoke(t)
	r, err := Run(context.Background(), e, 100, 1, o)
	if err != nil {
		log, _ := os.ReadFile(filepath.Join(dir, "processes.log"))
		t.Fatalf("%v\n%.4000s", err, log)
	}
	_, want := schedule(e, 100, 1)
	if r.Counts != want || int(r.Accepted) != want.Jobs || int(r.Over) != want.Jobs {
		t.Errorf("scheduled %+v, accepted %d, over %d, want %+v", r.Counts, r.Accepted, r.Over, want)
	}
	for _, b := range r.Broken {
		t.Error(b)
	}
	if r.Changes < 5 || r.Phases[0].InForce.Count == 0 || r.Waiting > 0 {
		t.Errorf("%d configuration changes, %d not applied by all controllers, latency %+v", r.Changes, r.Waiting, r.Phases[0].InForce)
	}
	if len(r.Phases) != 2 || r.Phases[0].Urgent.Count == 0 || r.Phases[0].Other.Count == 0 {
		t.Fatalf("%+v", r.Phases)
	}
	for _, role := range r.Phases[0].Roles {
		if role.Processes == 0 || role.RSSMiB == 0 || role.MessagesPS == 0 && role.Role != RoleState {
			t.Errorf("%+v", role)
		}
	}
}

// TestNetworkReaches checks which locations can reach one another during a partition of a zone and
// during a partition between regions.
func TestNetworkReaches(t *testing.T) {
	n := &network{exp: smoke(t)}
	n.setPartition("east-b", false)
	for _, x := range []struct {
		from, to string
		want     bool
	}{{"east-b", "east-b", true}, {"east-b", "east-a", false}, {noZone, "east-b", false}, {"west-a", noZone, true}} {
		if got := n.reaches(x.from, x.to); got != x.want {
			t.Errorf("zone partition: reaches from %q to %q is %v", x.from, x.to, got)
		}
	}
	n.setPartition(noZone, true)
	for _, x := range []struct {
		from, to string
		want     bool
	}{{"west-a", "west-b", true}, {"west-a", "east-b", false}, {noZone, "west-a", false}, {"east-b", noZone, true}} {
		if got := n.reaches(x.from, x.to); got != x.want {
			t.Errorf("partition between regions: reaches from %q to %q is %v", x.from, x.to, got)
		}
	}
}

// TestLatencies checks that the recovery of a task is counted when it runs again after the loss of its
// machine, and that only its first start counts as a start latency.
func TestLatencies(t *testing.T) {
	l := newLatencies(time.Second)
	l.submitted("j-000001", true)
	l.markFailed("host-1")
	for _, e := range []standin.Event{
		{Kind: standin.TaskStarted, Task: "j-000001/0", Machine: "host-1"}, {Kind: standin.TaskLost, Task: "j-000001/0", Machine: "host-1"},
		{Kind: standin.TaskStarted, Task: "j-000001/0", Machine: "host-2"}, {Kind: standin.TaskCompleted, Task: "j-000001/0", Machine: "host-2"},
	} {
		l.observe(e)
	}
	starts, ended := l.counts()
	x := l.takePhase()
	if starts != 2 || ended != 2 || x.urgent.latency().Count != 1 || x.recovery.latency().Count != 1 || x.other.latency().Count != 0 || x.lost != 1 || x.promptShare() != 1 {
		t.Errorf("%d starts, %d ends, %+v, %+v", starts, ended, x.urgent.latency(), x.recovery.latency())
	}
}

// TestControllerAddressesAreDistinct checks that the controllers' addresses are on the loopback
// address of this process and that no two of them are equal.
func TestControllerAddressesAreDistinct(t *testing.T) {
	addrs, err := freeAddrs(30)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, a := range addrs {
		if seen[a] || !strings.HasPrefix(a, host()+":") || strings.HasPrefix(a, "127.0.0.1:") {
			t.Errorf("%s", a)
		}
		seen[a] = true
	}
}

// TestWorkersArePairedByMachine checks that the usage of a worker's process is computed from samples
// of the same machine, whatever their order and even if other workers have disappeared. Pairing them
// by index had yielded processor times that were too high.
func TestWorkersArePairedByMachine(t *testing.T) {
	of := func(machine string, cpu float64, sent uint64) WorkerSample {
		return WorkerSample{machine, Usage{CPUSeconds: cpu}, traffic.Count{Out: sent}}
	}
	samples := []Sample{
		{AtS: 0, Workers: []WorkerSample{of("a", 10, 1000), of("b", 20, 5000), of("c", 90, 9000)}},
		{AtS: 1, Workers: []WorkerSample{of("b", 20.5, 6000), of("a", 10.5, 2000)}},
		{AtS: 2, Workers: []WorkerSample{of("a", 11, 3000), of("b", 21, 7000)}},
	}
	p := summarize("x", 1, samples, newTimes())
	for _, r := range p.Roles {
		if r.Role == RoleWorker && (r.CPU != 0.5 || r.OutKBPerS != 1 || r.Processes != 2) {
			t.Errorf("%+v", r)
		}
	}
}
