package settings

import (
	"fmt"
	"math"
	"net"
)

// Peer is another controller.
type Peer struct {
	Node     string `toml:"node"`
	Zone     string `toml:"domain"`
	Endpoint string `toml:"endpoint"` // host:port
}

// Team holds a team's guarantee (CPUs, GPUs) and limit (CPUsMax, GPUsMax). Zero means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// StateLimits are the state service's limits on writes.
type StateLimits struct {
	WriteRPS float64 `toml:"write_rps"` // write requests per second
	ValueKB  float64 `toml:"value_kb"`  // size of a value, KiB
	TxnOps   int     `toml:"txn_ops"`   // operations of a transaction
}

// NextLimits are limits that the state service has announced. A limit that is nil is not going to change.
type NextLimits struct {
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Platform is the content of the settings file that the platform provides. Unknown fields are ignored.
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
			// Next holds limits that the state service will apply from some later time on, without further
			// notice. Limits that it leaves out do not change.
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

// check returns an error for the first invalid field of the platform's settings.
func (p *Platform) check() error {
	if p.Node == "" {
		return newFieldError("node", "missing")
	}
	steps := []func() error{p.checkAddresses, p.checkPeers, p.checkNumbers, p.checkStateLimits, p.checkTeams}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) checkAddresses() error {
	addresses := []struct{ field, value string }{
		{"public_addr", p.PublicAddr}, {"internal_addr", p.InternalAddr},
		{"external.cloud", p.External.Cloud}, {"external.state", p.External.State},
	}
	for _, address := range addresses {
		if address.value == "" {
			return newFieldError(address.field, "missing")
		}
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return newFieldError(address.field, "not host:port: %q", address.value)
		}
	}
	if p.PublicAddr == p.InternalAddr {
		return newFieldError("internal_addr", "the same as public_addr")
	}
	return nil
}

func (p *Platform) checkPeers() error {
	seen := map[string]bool{p.Node: true}
	for i, peer := range p.Peers {
		field := fmt.Sprintf("others[%d]", i)
		if peer.Node == "" {
			return newFieldError(field+".node", "missing")
		}
		if seen[peer.Node] {
			return newFieldError(field+".node", "%q is named twice", peer.Node)
		}
		seen[peer.Node] = true
		if _, _, err := net.SplitHostPort(peer.Endpoint); err != nil {
			return newFieldError(field+".endpoint", "not host:port: %q", peer.Endpoint)
		}
	}
	return nil
}

// maxRate is the upper bound of numbers that must be positive. It keeps calculations with them finite.
const maxRate = 1e12

func (p *Platform) checkNumbers() error {
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
	for _, number := range positive {
		if !(number.value > 0) || number.value > maxRate { // negated, so that NaN is refused as well
			return newFieldError(number.field, "must be a positive number, is %v", number.value)
		}
	}
	if d.Workers.LeaseS <= d.Workers.ReportS {
		return newFieldError("deployment.workers.lease_s", "must be longer than report_s")
	}
	return nil
}

func (p *Platform) checkStateLimits() error {
	state := &p.Deployment.State
	if err := state.check("deployment.state"); err != nil {
		return err
	}
	if state.Next == nil {
		return nil
	}
	// A limit that is not announced keeps the value in force.
	return p.WriteLimits().check("deployment.state.next")
}

func (p *Platform) checkTeams() error {
	seen := map[string]bool{}
	for i, team := range p.Deployment.Teams {
		field := fmt.Sprintf("deployment.teams[%d]", i)
		if team.Name == "" {
			return newFieldError(field+".name", "missing")
		}
		if seen[team.Name] {
			return newFieldError(field+".name", "%q is named twice", team.Name)
		}
		seen[team.Name] = true
		if err := team.Check(field); err != nil {
			return err
		}
	}
	return nil
}

// maxTeamAmount is the upper bound of a team's CPUs and GPUs.
const maxTeamAmount = 1e9

// Check returns an error if the team's amounts are invalid; field is the prefix of field names in its
// errors.
func (t Team) Check(field string) error {
	for _, amount := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
		if amount < 0 || math.IsNaN(amount) || amount > maxTeamAmount {
			return newFieldError(field, "%q has an amount that is negative, or over %v", t.Name, maxTeamAmount)
		}
	}
	if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
		return newFieldError(field+".cpus", "%q is guaranteed more than its cpus_max", t.Name)
	}
	if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
		return newFieldError(field+".gpus", "%q is guaranteed more than its gpus_max", t.Name)
	}
	return nil
}

// String returns the team's name and amounts as a text.
func (t Team) String() string {
	return fmt.Sprintf("%s: cpus %v of at most %v, gpus %v of at most %v",
		t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax)
}
