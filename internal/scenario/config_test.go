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

// configPlay is the state of configuration changes in a simulation and of the invariants on them.
type configPlay struct {
	limits  map[string]float64 // CPU limits of the teams whose limit was changed; 0: none
	queue   []func()           // queued changes, the one in progress first
	durable uint64             // newest revision that was reported durable to an operator
	seen    map[string]uint64  // newest revision observed, by controller and incarnation
	changes int
}

// onItsWay is how long a start that was sent before a change may still be in flight.
const onItsWay = 6 * time.Second

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

// limitIn returns the CPU limit of a team after a change.
func (s *sim) limitIn(c config.Change) float64 {
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

func higher(a, b float64) bool { return b != 0 && (a == 0 || a > b) }

// reconfigure queues an operator's change, which is retried until it is durable. Changes are made one
// after the other.
func (s *sim) reconfigure(id string, changes []config.Change) {
	p := &s.configs
	p.queue = append(p.queue, func() { s.reconfigureNow(id, changes) })
	if len(p.queue) == 1 {
		p.queue[0]()
	}
}

func (s *sim) reconfigureNow(id string, changes []config.Change) {
	for _, c := range changes {
		for _, t := range s.cfg.Deployment.Teams {
			if to := s.limitIn(c); t.Name == c.Item.Team && higher(to, s.teamLimit(t)) {
				s.setLimit(t.Name, to) // a higher limit may be in force from now on
			}
		}
	}
	var try func()
	try = func() {
		again := func() { s.after(700*time.Millisecond, try) }
		l := s.leader()
		if l == nil || l.oldVersion || s.pausedFor(l.name) > 0 {
			again()
			return
		}
		view, ok := l.configView()
		if !ok {
			again()
			return
		}
		body, err := json.Marshal(reconfig.Request{ID: id, Revision: view.Revision, Changes: changes})
		if err != nil {
			panic(err)
		}
		raw, _, err := l.core.Change(l.clock(), reconfig.Name, "operator", body)
		l.drain()
		var done reconfig.Answer
		if err != nil || raw == nil || json.Unmarshal(raw, &done) != nil || !done.Durable {
			again()
			return
		}
		s.configs.durable = max(s.configs.durable, done.Revision)
		s.configs.changes++
		s.after(onItsWay, func() { s.configured(changes) })
	}
	try()
}

// configured puts the limits of a durable change in force for the checker and starts the next change.
func (s *sim) configured(changes []config.Change) {
	for _, c := range changes {
		if c.Item.Team != "" {
			s.setLimit(c.Item.Team, s.limitIn(c))
		}
	}
	p := &s.configs
	p.queue = p.queue[1:]
	if len(p.queue) > 0 {
		p.queue[0]()
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

// tellConfig applies the leader's configuration update at a controller and returns the controller's
// revision afterwards.
func (s *sim) tellConfig(from, to *controller, u *config.Update) uint64 {
	if u == nil || to.oldVersion {
		return 0
	}
	s.watchConfig(to)
	defer s.watchConfig(to)
	return to.core.ApplyConfig(to.clock(), from.name, *u)
}

// watchConfig checks that a controller never returns to an older revision, and that a leader has every
// durable revision.
func (s *sim) watchConfig(c *controller) {
	if !c.up || c.oldVersion || c.cfg.Tunables.ConfigHistory == 0 {
		return
	}
	p := &s.configs
	if p.seen == nil {
		p.seen = map[string]uint64{}
	}
	key := fmt.Sprint(c.name, c.incarnation)
	now := c.core.LocalConfig(c.clock()).Revision
	if now < p.seen[key] {
		s.check.fail("config_went_back", "%s had revision %d and has %d", c.name, p.seen[key], now)
	}
	p.seen[key] = now
	if view, ok := c.configView(); ok && view.Revision < p.durable {
		s.check.fail("config_lost", "%s leads with revision %d, %d was durable", c.name, view.Revision, p.durable)
	}
}

// configDay schedules random changes of limits and tunables, and a final one that restores the team's
// limit so that its jobs can run.
func configDay(s *sim, seed uint64) {
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
			s.watchConfig(c)
		}
		s.after(500*time.Millisecond, watch)
	}
	s.after(0, watch)
}

// inForceWithin is the time within which a change must be in force everywhere once faults have ended.
const inForceWithin = 11 * time.Second

// configEverywhere checks that all controllers have the leader's revision soon after the last change.
func (s *sim) configEverywhere(t *testing.T) {
	t.Helper()
	if !s.runUntil(2*time.Minute, func() bool { return len(s.configs.queue) == 0 && s.leader() != nil }) {
		t.Fatalf("%d changes are still queued", len(s.configs.queue))
	}
	same := func() bool {
		l := s.leader()
		if l == nil {
			return false
		}
		view, ok := l.configView()
		for _, c := range s.nodes {
			ok = ok && c.up && c.core.LocalConfig(c.clock()).Revision == view.Revision
		}
		return ok && view.Revision >= s.configs.durable
	}
	if !s.runUntil(inForceWithin, same) {
		t.Errorf("not in force everywhere: %s", s.configState())
	}
	if s.configs.changes == 0 {
		t.Error("no change was made")
	}
}

// configState describes the leader's configuration and the revision of each controller.
func (s *sim) configState() string {
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

// configChanges returns the changes that a scenario command describes.
func configChanges(t *testing.T, d *datadriven.TestData) (out []config.Change) {
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
	d := newSim(c, 1, 3, false)
	d.run(10 * time.Second)
	l := d.leader()
	if l == nil {
		t.Fatal("no leader")
	}
	d.configs.durable = 7
	d.configs.seen = map[string]uint64{fmt.Sprint(l.name, l.incarnation): 9}
	d.watchConfig(l)
	for _, x := range []struct {
		rule   string
		broken []string
	}{{"quota", s.check.violations}, {"config_went_back", d.check.violations}, {"config_lost", d.check.violations}} {
		if !slices.ContainsFunc(x.broken, func(b string) bool { return strings.HasPrefix(b, x.rule) }) {
			t.Errorf("%s was not detected: %v", x.rule, x.broken)
		}
	}
}
