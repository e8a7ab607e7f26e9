// Package settings reads and checks what a controller is started with: the
// platform's TOML file and the operators' optional INI file.
package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gopkg.in/ini.v1"
)

// Peer is another controller.
type Peer struct {
	Node     string `toml:"node"`
	Zone     string `toml:"domain"`
	Endpoint string `toml:"endpoint"`
}

// Team is a team's guarantee and limit; zero means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Kinds of aims that code acts upon.
const (
	AimWait     = "wait"
	AimFinished = "finished"
	AimDeadline = "deadline"
)

// aims are all kinds that there are; nothing follows from the others of them here.
var aims = []string{AimWait, AimFinished, AimDeadline, "guarantee"}

// UnknownObjectives lists the kinds of objectives that this version does not know, once each.
func (p *Platform) UnknownObjectives() (out []string) {
	for _, o := range p.Deployment.Objectives {
		if !slices.Contains(aims, o.Kind) && !slices.Contains(out, o.Kind) {
			out = append(out, o.Kind)
		}
	}
	return out
}

// Objective is one aim that users stated for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// StateLimits bound what is written to the state service.
type StateLimits struct {
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// NextLimits are limits to come; nil: no change is announced.
type NextLimits struct {
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// What one write needs at least: an entry of usual names, and a transaction
// that closes one segment, opens the next and removes a third.
const (
	leastValueKB = 0.5
	leastTxnOps  = 3

	entryBytes   = 420 // of a value, with an entry of a job, but for the names that settings tell
	leaseReports = 3
)

// WriteLimits is what every write must keep to: the smaller of the limits in force
// and of those announced, limit by limit, since nobody says when they change.
func (p *Platform) WriteLimits() StateLimits {
	l := p.Deployment.State.StateLimits
	if n := p.Deployment.State.Next; n != nil {
		if n.WriteRPS != nil {
			l.WriteRPS = min(l.WriteRPS, *n.WriteRPS)
		}
		if n.ValueKB != nil {
			l.ValueKB = min(l.ValueKB, *n.ValueKB)
		}
		if n.TxnOps != nil {
			l.TxnOps = min(l.TxnOps, *n.TxnOps)
		}
	}
	return l
}

// Platform is the file that the platform hands over. Unknown fields are
// ignored.
type Platform struct {
	Node         string `toml:"node"`
	Zone         string `toml:"domain"`
	PublicAddr   string `toml:"public_addr"`
	InternalAddr string `toml:"internal_addr"`
	Peers        []Peer `toml:"others"`
	External     struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Deployment struct {
		Count       int         `toml:"count"`
		Zones       []string    `toml:"zones"`
		TimeBoundMS float64     `toml:"time_bound_ms"`
		Teams       []Team      `toml:"teams"`
		Objectives  []Objective `toml:"objectives"`
		Workers     struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			RPS float64 `toml:"rps"`
			StateLimits
			// Next holds limits that the state service will have from some moment
			// on, without notice. What it leaves out stays as it is.
			Next *NextLimits `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		MachineLimits struct {
			CPU     float64 `toml:"cpu"`
			RAMMB   float64 `toml:"ram_mb"`
			FDLimit int     `toml:"fd_limit"`
		} `toml:"machine_limits"`
	} `toml:"deployment"`
}

// Settings is everything a controller runs by.
type Settings struct {
	Platform
	Tunables   Tunables
	WebhookKey []byte // what warnings are signed with
}

// NeedsDispatch says whether an aim is so tight that a start which waits for an idle worker's
// next report would miss it.
func (s *Settings) NeedsDispatch(o Objective) bool {
	return o.Kind == AimWait && o.WithinS < s.Deployment.Workers.ReportS
}

// AnyNeedsDispatch says whether any aim is.
func (s *Settings) AnyNeedsDispatch() bool {
	return slices.ContainsFunc(s.Deployment.Objectives, s.NeedsDispatch)
}

// checkDirect holds the calls to workers against the sockets there are.
func (s *Settings) checkDirect() error {
	if most := s.Deployment.MachineLimits.FDLimit / 4; s.Tunables.DirectStarts > most {
		return wrong("exceptions.direct_starts", "must be at most a quarter of deployment.machine_limits.fd_limit, %d, is %d", most, s.Tunables.DirectStarts)
	}
	return nil
}

// FieldError names the setting that is wrong.
type FieldError struct {
	Field string
	Why   string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

func wrong(field, why string, a ...any) error {
	return &FieldError{Field: field, Why: fmt.Sprintf(why, a...)}
}

// Load reads the platform's file and, where iniPath is not empty, the
// operators' file, and checks both. set has operators' settings of the form
// SECTION.KEY=VALUE that go over those of the file.
func Load(path, iniPath string, set ...string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{}
	if err := toml.Unmarshal(raw, &s.Platform); err != nil {
		return nil, wrong(path, "not valid TOML: %s", firstLine(err.Error()))
	}
	if err := s.Platform.check(); err != nil {
		return nil, err
	}
	s.Tunables = Defaults()
	if iniPath != "" || len(set) > 0 {
		f := ini.Empty()
		if iniPath != "" {
			if f, err = ini.Load(iniPath); errors.Is(err, fs.ErrNotExist) {
				return nil, fmt.Errorf("settings: %w", err)
			} else if err != nil {
				return nil, wrong(iniPath, "not valid INI: %s", firstLine(err.Error()))
			}
		}
		for _, x := range set {
			name, value, ok := strings.Cut(x, "=")
			section, key, dotted := strings.Cut(name, ".")
			if !ok || !dotted || section == "" || key == "" {
				return nil, wrong(x, "not of the form SECTION.KEY=VALUE")
			}
			f.Section(section).Key(key).SetValue(value)
		}
		if err := s.Tunables.read(f); err != nil {
			return nil, err
		}
		if err := s.checkPools(); err != nil {
			return nil, err
		}
		if err := s.checkDirect(); err != nil {
			return nil, err
		}
		for _, file := range s.Tunables.ReceiptKeys() {
			if _, err := readKey("pools.receipt_keys", file); err != nil {
				return nil, err
			}
		}
		if s.WebhookKey, err = s.Tunables.webhookKey(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

func (p *Platform) check() error {
	if p.Node == "" {
		return wrong("node", "missing")
	}
	addrs := []struct{ field, value string }{
		{"public_addr", p.PublicAddr}, {"internal_addr", p.InternalAddr},
		{"external.cloud", p.External.Cloud}, {"external.state", p.External.State},
	}
	for _, a := range addrs {
		if a.value == "" {
			return wrong(a.field, "missing")
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return wrong(a.field, "not host:port: %q", a.value)
		}
	}
	if p.PublicAddr == p.InternalAddr {
		return wrong("internal_addr", "the same as public_addr")
	}
	seen := map[string]bool{p.Node: true}
	for i, o := range p.Peers {
		field := fmt.Sprintf("others[%d]", i)
		if o.Node == "" {
			return wrong(field+".node", "missing")
		}
		if seen[o.Node] {
			return wrong(field+".node", "%q is named twice", o.Node)
		}
		seen[o.Node] = true
		if _, _, err := net.SplitHostPort(o.Endpoint); err != nil {
			return wrong(field+".endpoint", "not host:port: %q", o.Endpoint)
		}
	}
	d := &p.Deployment
	positive := []struct {
		field string
		value float64
	}{
		{"deployment.workers.report_s", d.Workers.ReportS},
		{"deployment.workers.lease_s", d.Workers.LeaseS},
		{"deployment.workers.cancel_s", d.Workers.CancelS},
		{"deployment.state.rps", d.State.RPS},
		{"deployment.cloud.rps", d.Cloud.RPS},
		{"deployment.machine_limits.ram_mb", d.MachineLimits.RAMMB},
		{"deployment.machine_limits.fd_limit", float64(d.MachineLimits.FDLimit)},
	}
	for _, v := range positive {
		if !(v.value > 0) || v.value > 1e12 {
			return wrong(v.field, "must be a positive number, is %v", v.value)
		}
	}
	if d.Workers.LeaseS <= d.Workers.ReportS {
		return wrong("deployment.workers.lease_s", "must be longer than report_s")
	}
	if err := d.State.check("deployment.state"); err != nil {
		return err
	}
	if d.State.Next != nil {
		// Announced limits, where they say nothing, are those in force.
		if err := p.WriteLimits().check("deployment.state.next"); err != nil {
			return err
		}
	}
	teams := map[string]bool{}
	for i, t := range d.Teams {
		field := fmt.Sprintf("deployment.teams[%d]", i)
		if t.Name == "" {
			return wrong(field+".name", "missing")
		}
		if teams[t.Name] {
			return wrong(field+".name", "%q is named twice", t.Name)
		}
		teams[t.Name] = true
		if err := t.Check(field); err != nil {
			return err
		}
	}
	return nil
}

// largestEntry is how many bytes an entry of the log may need in a deployment
// with these names: a job's, beside the longest names that the settings know.
func (p *Platform) largestEntry() int {
	team, class, zone := 0, 0, 0
	for _, t := range p.Deployment.Teams {
		team = max(team, len(t.Name))
	}
	for _, o := range p.Deployment.Objectives {
		class = max(class, len(o.Class))
	}
	for _, z := range p.Deployment.Zones {
		zone = max(zone, len(z))
	}
	return entryBytes + team + class + zone
}

// CarriesTeam says why a job of a team with this name could not be stored.
func (p *Platform) CarriesTeam(name string) error {
	least := min(p.Deployment.State.ValueKB, p.WriteLimits().ValueKB)
	if entry := p.largestEntry() + len(name); least*1024 < float64(entry) {
		return wrong("team", "a name of %d bytes is too long: an entry would take %d bytes, and a value has %v KiB", len(name), entry, least)
	}
	return nil
}

// CheckServable says which setting describes a fleet that a controller can start with
// but cannot serve well; nil if none does. check-config refuses such settings. A
// controller that is told to start with them says so and does what it can.
func (p *Platform) CheckServable() error {
	w := p.Deployment.Workers
	if least := leaseReports * w.ReportS; w.LeaseS < least {
		return wrong("deployment.workers.lease_s", "must be at least %d reports, %v s, is %v s: a worker would lose its tasks over two lost reports", leaseReports, least, w.LeaseS)
	}
	s, field := p.Deployment.State, "deployment.state"
	for _, kb := range []float64{s.ValueKB, p.WriteLimits().ValueKB} {
		if entry := p.largestEntry(); kb*1024 < float64(entry) {
			return wrong(field+".value_kb", "%v KiB are too little for one entry, which takes up to %d bytes with the names of this deployment", kb, entry)
		}
		field = "deployment.state.next"
	}
	return nil
}

func (l StateLimits) check(field string) error {
	switch {
	case !(l.WriteRPS > 0) || l.WriteRPS > 1e12:
		return wrong(field+".write_rps", "must be a positive number, is %v", l.WriteRPS)
	case !(l.ValueKB >= leastValueKB) || l.ValueKB > 1e6:
		return wrong(field+".value_kb", "must be at least %v, is %v", leastValueKB, l.ValueKB)
	case l.TxnOps < leastTxnOps:
		return wrong(field+".txn_ops", "must be at least %d, is %d", leastTxnOps, l.TxnOps)
	}
	return nil
}

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
