package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/operators/certs"
)

// Pool is a counted thing that tasks may need besides room.
type Pool struct {
	Name           string
	Units          int
	Reserve        int // of them, for urgent and critical jobs
	Shares         []PoolShare
	HoldAfterLossS float64 // for how long units stay out whose holder died
}

// PoolShare is the most that a team's jobs may have out of a pool at once.
type PoolShare struct {
	Team  string
	Units int
}

// Operators is where operators change things, and who may.
type Operators struct {
	Listen   string // host:port; empty: nowhere
	CertFile string
	KeyFile  string
	CAFile   string
	Read     []string // names of certificates
	Operate  []string
	Admin    []string
}

const (
	poolPrefix = "pool "
	poolName   = 64 // bytes
	poolsMost  = 2000
)

// pools reads the sections whose names are the operators' own.
func (t *Tunables) readPools(f *ini.File) error {
	for _, sec := range f.Sections() {
		name, ok := strings.CutPrefix(sec.Name(), poolPrefix)
		if !ok {
			continue
		}
		p, err := readPool(strings.TrimSpace(name), sec)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(t.Pools, func(o Pool) bool { return o.Name == p.Name }) {
			return wrong(sec.Name(), "is there twice")
		}
		t.Pools = append(t.Pools, p)
	}
	if len(t.Pools) > poolsMost {
		return wrong("pools", "%d are more than the %d that there may be", len(t.Pools), poolsMost)
	}
	return nil
}

func readPool(name string, sec *ini.Section) (Pool, error) {
	p := Pool{Name: name, Units: -1}
	field := func(key string) string { return sec.Name() + "." + key }
	if name == "" || len(name) > poolName || strings.ContainsAny(name, "/\"\\ \t") {
		return p, wrong(sec.Name(), "a pool's name has 1 to %d bytes, without spaces, slashes and quotes", poolName)
	}
	for _, key := range sec.Keys() {
		var err error
		switch key.Name() {
		case "units":
			p.Units, err = wholeOf(key.Value(), 0, eventlog.UnitsMost)
		case "reserve":
			p.Reserve, err = wholeOf(key.Value(), 0, eventlog.UnitsMost)
		case "hold_after_loss":
			p.HoldAfterLossS, err = strconv.ParseFloat(key.Value(), 64)
			if err != nil || !(p.HoldAfterLossS >= 0) || p.HoldAfterLossS > 86400 {
				err = fmt.Errorf("must be between 0 and 86400 s, is %q", key.Value())
			}
		case "teams":
			p.Shares, err = readShares(key.Value())
		default:
			err = fmt.Errorf("no such key of a pool")
		}
		if err != nil {
			return p, wrong(field(key.Name()), "%v", err)
		}
	}
	if p.Units < 0 {
		return p, wrong(field("units"), "missing")
	}
	if p.Reserve > p.Units {
		return p, wrong(field("reserve"), "%d are more than its %d units", p.Reserve, p.Units)
	}
	return p, nil
}

func readShares(list string) (out []PoolShare, err error) {
	for part := range strings.SplitSeq(list, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		team, units, ok := strings.Cut(part, ":")
		s := PoolShare{Team: strings.TrimSpace(team)}
		if !ok || s.Team == "" {
			return nil, fmt.Errorf("not a team and its units, like risk:3: %q", part)
		}
		if s.Units, err = wholeOf(strings.TrimSpace(units), 0, eventlog.UnitsMost); err != nil {
			return nil, fmt.Errorf("%s: %w", s.Team, err)
		}
		if slices.ContainsFunc(out, func(o PoolShare) bool { return o.Team == s.Team }) {
			return nil, fmt.Errorf("%s is named twice", s.Team)
		}
		out = append(out, s)
	}
	return out, nil
}

func wholeOf(s string, least, most float64) (int, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || v != float64(int64(v)) || v < least || v > most {
		return 0, fmt.Errorf("must be a whole number between %v and %v, is %q", least, most, s)
	}
	return int(v), nil
}

// checkPools holds pools against the teams that there are.
func (s *Settings) checkPools() error {
	for _, p := range s.Tunables.Pools {
		for _, share := range p.Shares {
			if !slices.ContainsFunc(s.Deployment.Teams, func(t Team) bool { return t.Name == share.Team }) {
				return wrong(poolPrefix+p.Name+".teams", "no such team: %q", share.Team)
			}
		}
	}
	return nil
}

// Operators is where operators change things, and who may.
func (t *Tunables) Operators() Operators {
	return Operators{Listen: t.OperatorsListen, CertFile: t.OperatorsCert, KeyFile: t.OperatorsKey, CAFile: t.OperatorsCA,
		Read: List(t.OperatorsRead), Operate: List(t.OperatorsOperate), Admin: List(t.OperatorsAdmin)}
}

// ReceiptKeys lists the files with keys of receipts, the one that signs first.
func (t *Tunables) ReceiptKeys() []string { return List(t.ReceiptKeyFiles) }

// List splits a list of names.
func List(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// checkOperators says what is missing where there is a listener for operators.
func (t *Tunables) checkOperators() error {
	o := t.Operators()
	if o.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(o.Listen); err != nil {
		return wrong("operators.listen", "not host:port: %q", o.Listen)
	}
	for _, x := range []struct{ key, value string }{{"cert_file", o.CertFile}, {"key_file", o.KeyFile}, {"ca_file", o.CAFile}} {
		if x.value == "" {
			return wrong("operators."+x.key, "missing: the operators' listener takes nobody without a certificate")
		}
	}
	if _, err := (certs.Files{Cert: o.CertFile, Key: o.KeyFile, CA: o.CAFile}).Read(); err != nil {
		return wrong("operators.cert_file", "%v", err)
	}
	if len(o.Operate)+len(o.Admin) == 0 {
		return wrong("operators.operate", "names nobody, and neither does operators.admin: nothing could be changed")
	}
	return nil
}
