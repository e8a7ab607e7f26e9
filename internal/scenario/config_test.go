package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/settings"
)

// configTracker is the state of configuration changes in a simulation and of the invariants on them.
type configTracker struct {
	limits          map[string]float64 // CPU limits of the teams whose limit was changed; 0: none
	queue           []func()           // queued changes, the one in progress first
	durableRevision uint64             // newest revision that was reported durable to an operator
	seenRevisions   map[string]uint64  // newest revision observed, by controller and incarnation
	changesMade     int
}

// startInFlightLimit is how long a start that was sent before a change may still be in flight.
const startInFlightLimit = 6 * time.Second

// teamLimit returns the number of CPUs that a team may use now.
func (s *sim) teamLimit(t settings.Team) float64 {
	if v, changed := s.configs.limits[t.Name]; changed {
		return v
	}
	return t.CPUsMax
}

func (s *sim) setLimit(name string, v float64) {
	if s.configs.limits == nil {
		s.configs.limits = map[string]float64{}
	}
	s.configs.limits[name] = v
}

// limitAfter returns the CPU limit of a team after a change.
func (s *sim) limitAfter(c config.Change) float64 {
	if c.Value.Limits != nil {
		return c.Value.Limits.CPUsMax
	}
	for _, t := range s.cfg.Deployment.Teams {
		if t.Name == c.Item.Team && !c.Value.Removed {
			return t.CPUsMax
		}
	}
	return s.configs.limits[c.Item.Team] // a removed team keeps its limit
}

// higherLimit reports whether the CPU limit a is higher than b; 0 means that there is no limit.
func higherLimit(a, b float64) bool { return b != 0 && (a == 0 || a > b) }

// reconfigure queues an operator's change, which is retried until it is durable. Changes are made one
// after the other.
func (s *sim) reconfigure(id string, changes []config.Change) {
	tracker := &s.configs
	tracker.queue = append(tracker.queue, func() { s.reconfigureNow(id, changes) })
	if len(tracker.queue) == 1 {
		tracker.queue[0]()
	}
}

// reconfigureNow makes an operator's change and retries it until it is durable.
func (s *sim) reconfigureNow(id string, changes []config.Change) {
	for _, c := range changes {
		for _, t := range s.cfg.Deployment.Teams {
			if to := s.limitAfter(c); t.Name == c.Item.Team && higherLimit(to, s.teamLimit(t)) {
				s.setLimit(t.Name, to) // a higher limit may be in force from now on
			}
		}
	}
	var try func()
	try = func() {
		again := func() { s.after(700*time.Millisecond, try) }
		leader := s.leader()
		if leader == nil || leader.oldVersion || s.pausedFor(leader.name) > 0 {
			again()
			return
		}
		view, ok := leader.configView()
		if !ok {
			again()
			return
		}
		body, err := json.Marshal(reconfig.Request{ID: id, Revision: view.Revision, Changes: changes})
		if err != nil {
			panic(err)
		}
		raw, _, err := leader.core.Change(leader.clock(), reconfig.Name, "operator", body)
		leader.drain()
		var result reconfig.Answer
		if err != nil || raw == nil || json.Unmarshal(raw, &result) != nil || !result.Durable {
			again()
			return
		}
		s.configs.durableRevision = max(s.configs.durableRevision, result.Revision)
		s.configs.changesMade++
		s.after(startInFlightLimit, func() { s.finishChange(changes) })
	}
	try()
}

// finishChange puts the limits of a durable change in force for the checker and starts the next change.
func (s *sim) finishChange(changes []config.Change) {
	for _, c := range changes {
		if c.Item.Team != "" {
			s.setLimit(c.Item.Team, s.limitAfter(c))
		}
	}
	tracker := &s.configs
	tracker.queue = tracker.queue[1:]
	if len(tracker.queue) > 0 {
		tracker.queue[0]()
	}
}

// configView returns the leader's view of the configuration, if the leader is sure of its term.
func (c *controller) configView() (view reconfig.View, ok bool) {
	if c.oldVersion || !c.up || !c.core.Status(c.clock()).Sure {
		return view, false
	}
	raw, known, err := c.core.Show(c.clock(), reconfig.Name)
	return view, err == nil && known && raw != nil && json.Unmarshal(raw, &view) == nil
}

// applyConfigUpdate applies the leader's configuration update at a controller and returns the controller's
// revision afterwards.
func (s *sim) applyConfigUpdate(from, to *controller, update *config.Update) uint64 {
	if update == nil || to.oldVersion {
		return 0
	}
	s.checkConfig(to)
	defer s.checkConfig(to)
	return to.core.ApplyConfig(to.clock(), from.name, *update)
}

// checkConfig checks that a controller never returns to an older revision, and that a leader has every
// durable revision.
func (s *sim) checkConfig(c *controller) {
	if !c.up || c.oldVersion || c.cfg.Tunables.ConfigHistory == 0 {
		return
	}
	tracker := &s.configs
	if tracker.seenRevisions == nil {
		tracker.seenRevisions = map[string]uint64{}
	}
	key := fmt.Sprint(c.name, c.incarnation)
	revision := c.core.LocalConfig(c.clock()).Revision
	if revision < tracker.seenRevisions[key] {
		s.check.fail("config_went_back", "%s had revision %d and has %d", c.name, tracker.seenRevisions[key], revision)
	}
	tracker.seenRevisions[key] = revision
	if view, ok := c.configView(); ok && view.Revision < tracker.durableRevision {
		s.check.fail("config_lost", "%s leads with revision %d, %d was durable", c.name, view.Revision, tracker.durableRevision)
	}
}

// scheduleConfigChanges schedules random changes of limits and tunables, and a final one that restores
// the team's limit so that its jobs can run.
func scheduleConfigChanges(s *sim, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 77))
	limit := func(v float64) config.Change {
		return config.Change{Item: config.Item{Team: "team"}, Value: config.Value{Limits: &config.Limits{CPUsMax: v}}}
	}
	for i := range 8 + r.IntN(12) {
		changes := []config.Change{limit(float64(4 + r.IntN(40)))}
		if r.IntN(3) == 0 {
			v := float64(1 + r.IntN(30))
			changes = append(changes, config.Change{Item: config.Item{Tunable: "fleet.idle_return"}, Value: config.Value{Number: &v}})
		}
		if r.IntN(4) == 0 {
			changes = append(changes, config.Change{Item: config.Item{Team: "guest"}, Value: config.Value{Limits: &config.Limits{CPUs: 2, CPUsMax: 8}}})
		}
		s.after(time.Duration(r.IntN(140000))*time.Millisecond, func() { s.reconfigure(fmt.Sprint("change", i), changes) })
	}
	s.after(141*time.Second, func() { s.reconfigure("back", []config.Change{limit(20)}) })
	var watch func()
	watch = func() {
		for _, c := range s.nodes {
			s.checkConfig(c)
		}
		s.after(500*time.Millisecond, watch)
	}
	s.after(0, watch)
}

// configPropagationLimit is the time within which a change must be in force everywhere once faults have
// ended.
const configPropagationLimit = 11 * time.Second

// checkConfigEverywhere checks that all controllers have the leader's revision soon after the last change.
func (s *sim) checkConfigEverywhere(t *testing.T) {
	t.Helper()
	if !s.runUntil(2*time.Minute, func() bool { return len(s.configs.queue) == 0 && s.leader() != nil }) {
		t.Fatalf("%d changes are still queued", len(s.configs.queue))
	}
	inForce := func() bool {
		leader := s.leader()
		if leader == nil {
			return false
		}
		view, ok := leader.configView()
		for _, c := range s.nodes {
			ok = ok && c.up && c.core.LocalConfig(c.clock()).Revision == view.Revision
		}
		return ok && view.Revision >= s.configs.durableRevision
	}
	if !s.runUntil(configPropagationLimit, inForce) {
		t.Errorf("not in force everywhere: %s", s.describeConfig())
	}
	if s.configs.changesMade == 0 {
		t.Error("no change was made")
	}
}

// describeConfig describes the leader's configuration and the revision of each controller.
func (s *sim) describeConfig() string {
	var out []string
	if l := s.leader(); l != nil {
		if view, ok := l.configView(); ok {
			out = append(out, fmt.Sprint("revision ", view.Revision))
			for _, team := range view.Teams {
				line := fmt.Sprintf("team %s: %v of at most %v", team.Name, team.CPUs, team.CPUsMax)
				if team.Removed {
					line += ", removed"
				}
				out = append(out, line)
			}
			for _, x := range view.Tunables {
				if x.Revision > 0 {
					out = append(out, fmt.Sprintf("%s: %v", x.Key, x.Value))
				}
			}
		}
	}
	for _, c := range s.nodes {
		if c.up && !c.oldVersion {
			out = append(out, fmt.Sprintf("%s has %d", c.name, c.core.LocalConfig(c.clock()).Revision))
		}
	}
	return strings.Join(out, "\n")
}

// parseConfigChanges returns the changes that a scenario command describes.
func parseConfigChanges(t *testing.T, d *datadriven.TestData) (out []config.Change) {
	t.Helper()
	item := config.Item{Team: arg(t, d, "team", "team")}
	switch {
	case d.HasArg("remove"):
		out = append(out, config.Change{Item: item, Value: config.Value{Removed: true}})
	case d.HasArg("reset"):
		out = append(out, config.Change{Item: item})
	case d.HasArg("limit"):
		out = append(out, config.Change{Item: item, Value: config.Value{Limits: &config.Limits{CPUsMax: float64(arg(t, d, "limit", 0))}}})
	}
	if d.HasArg("idle-return") {
		v := float64(arg(t, d, "idle-return", 0))
		out = append(out, config.Change{Item: config.Item{Tunable: "fleet.idle_return"}, Value: config.Value{Number: &v}})
	}
	return out
}

// TestConfigCheckerCatches violates each invariant of the configuration and checks that it is detected.
func TestConfigCheckerCatches(t *testing.T) {
	s, j, w1, _ := newCheckedSim()
	j.spec.Job.Tasks = 9
	s.setLimit("team", 2)
	for k := range 2 {
		s.check.taskStarted(task{1, k}, w1)
	}
	if len(s.check.violations) > 0 {
		t.Fatal(s.check.violations)
	}
	s.setLimit("team", 1) // running tasks may go on, but none may start
	s.check.taskStarted(task{1, 2}, w1)
	c := baseSettings()
	c.Tunables.ConfigHistory = 3
	second := newSim(c, 1, 3, false)
	second.run(10 * time.Second)
	leader := second.leader()
	if leader == nil {
		t.Fatal("no leader")
	}
	second.configs.durableRevision = 7
	second.configs.seenRevisions = map[string]uint64{fmt.Sprint(leader.name, leader.incarnation): 9}
	second.checkConfig(leader)
	for _, want := range []struct {
		rule   string
		broken []string
	}{{"quota", s.check.violations}, {"config_went_back", second.check.violations}, {"config_lost", second.check.violations}} {
		if !slices.ContainsFunc(want.broken, func(b string) bool { return strings.HasPrefix(b, want.rule) }) {
			t.Errorf("%s was not detected: %v", want.rule, want.broken)
		}
	}
}
