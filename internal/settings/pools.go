package settings

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"bitternmoor/internal/core/eventlog"
)

// Pool is a counted resource, such as licences, that tasks may need besides room on a machine.
type Pool struct {
	Name           string
	Units          int
	Reserve        int // of them, for urgent and critical jobs
	Shares         []PoolShare
	HoldAfterLossS float64 // for how long units of a holder that was lost stay out
}

// PoolShare is the most that a team's jobs may have out of a pool at once.
type PoolShare struct {
	Team  string
	Units int
}

const (
	poolPrefix  = "pool " // of the name of a pool's section
	maxPoolName = 64      // bytes
	maxPools    = 2000

	// maxHoldAfterLossS is a day.
	maxHoldAfterLossS = 86400
)

// readPools reads the sections of pools.
func (t *Tunables) readPools(file *ini.File) error {
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), poolPrefix)
		if !ok {
			continue
		}
		p, err := readPool(strings.TrimSpace(name), section)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(t.Pools, func(o Pool) bool { return o.Name == p.Name }) {
			return wrong(section.Name(), "is there twice")
		}
		t.Pools = append(t.Pools, p)
	}
	if len(t.Pools) > maxPools {
		return wrong("pools", "%d are more than the %d that there may be", len(t.Pools), maxPools)
	}
	return nil
}

// readPool reads the section of one pool.
func readPool(name string, section *ini.Section) (Pool, error) {
	p := Pool{Name: name, Units: unitsMissing}
	if name == "" || len(name) > maxPoolName || strings.ContainsAny(name, "/\"\\ \t") {
		return p, wrong(section.Name(), "a pool's name has 1 to %d bytes, without spaces, slashes and quotes", maxPoolName)
	}
	for _, key := range section.Keys() {
		if err := p.readKey(key.Name(), key.Value()); err != nil {
			return p, wrong(section.Name()+"."+key.Name(), "%v", err)
		}
	}
	if p.Units == unitsMissing {
		return p, wrong(section.Name()+".units", "missing")
	}
	if p.Reserve > p.Units {
		return p, wrong(section.Name()+".reserve", "%d are more than its %d units", p.Reserve, p.Units)
	}
	return p, nil
}

// unitsMissing is a number of units that no section can give.
const unitsMissing = -1

// readKey reads the value of one key of a pool.
func (p *Pool) readKey(key, value string) (err error) {
	switch key {
	case "units":
		p.Units, err = parseWhole(value, 0, eventlog.MaxPoolUnits)
	case "reserve":
		p.Reserve, err = parseWhole(value, 0, eventlog.MaxPoolUnits)
	case "hold_after_loss":
		p.HoldAfterLossS, err = strconv.ParseFloat(value, 64)
		if err != nil || !(p.HoldAfterLossS >= 0) || p.HoldAfterLossS > maxHoldAfterLossS {
			err = fmt.Errorf("must be between 0 and %d s, is %q", maxHoldAfterLossS, value)
		}
	case "teams":
		p.Shares, err = parseShares(value)
	default:
		err = errors.New("no such key of a pool")
	}
	return err
}

// parseShares reads the teams of a pool and their units, like "risk:3, audit:2".
func parseShares(list string) (out []PoolShare, err error) {
	for part := range strings.SplitSeq(list, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		team, units, ok := strings.Cut(part, ":")
		share := PoolShare{Team: strings.TrimSpace(team)}
		if !ok || share.Team == "" {
			return nil, fmt.Errorf("not a team and its units, like risk:3: %q", part)
		}
		share.Units, err = parseWhole(strings.TrimSpace(units), 0, eventlog.MaxPoolUnits)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", share.Team, err)
		}
		if slices.ContainsFunc(out, func(other PoolShare) bool { return other.Team == share.Team }) {
			return nil, fmt.Errorf("%s is named twice", share.Team)
		}
		out = append(out, share)
	}
	return out, nil
}

// parseWhole reads a whole number between bounds.
func parseWhole(text string, least, most float64) (int, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v != float64(int64(v)) || v < least || v > most {
		return 0, fmt.Errorf("must be a whole number between %v and %v, is %q", least, most, text)
	}
	return int(v), nil
}

// checkPools checks that the teams of pools exist.
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

// ReceiptKeys lists the files with keys of receipts, the one that signs first.
func (t *Tunables) ReceiptKeys() []string { return List(t.ReceiptKeyFiles) }

// List splits a list of names that are separated by commas, and leaves out empty ones.
func List(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
