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
	Reserve        int // number of these units that are reserved for urgent and critical jobs
	Shares         []PoolShare
	HoldAfterLossS float64 // seconds for which units of a lost holder stay in use
}

// PoolShare is the most units of a pool that the jobs of a team may hold at once.
type PoolShare struct {
	Team  string
	Units int
}

const (
	poolPrefix  = "pool " // prefix of the name of a pool's section
	maxPoolName = 64      // length of a pool's name, bytes
	maxPools    = 2000

	// maxHoldAfterLossS is one day in seconds.
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
			return newFieldError(section.Name(), "is defined twice")
		}
		t.Pools = append(t.Pools, p)
	}
	if len(t.Pools) > maxPools {
		return newFieldError("pools", "%d pools are more than the allowed %d", len(t.Pools), maxPools)
	}
	return nil
}

// readPool reads the section of one pool.
func readPool(name string, section *ini.Section) (Pool, error) {
	p := Pool{Name: name, Units: unitsMissing}
	if name == "" || len(name) > maxPoolName || strings.ContainsAny(name, "/\"\\ \t") {
		return p, newFieldError(section.Name(), "a pool's name has 1 to %d bytes, without spaces, slashes and quotes", maxPoolName)
	}
	for _, key := range section.Keys() {
		if err := p.readKey(key.Name(), key.Value()); err != nil {
			return p, newFieldError(section.Name()+"."+key.Name(), "%v", err)
		}
	}
	if p.Units == unitsMissing {
		return p, newFieldError(section.Name()+".units", "missing")
	}
	if p.Reserve > p.Units {
		return p, newFieldError(section.Name()+".reserve", "%d is more than the pool's %d units", p.Reserve, p.Units)
	}
	return p, nil
}

// unitsMissing marks a pool whose section has no number of units; no section can set this value.
const unitsMissing = -1

// readKey parses the value of one key of a pool.
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

// parseShares parses the teams of a pool and their units, like "risk:3, audit:2".
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

// parseWhole parses a whole number between two bounds.
func parseWhole(text string, least, most float64) (int, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || v != float64(int64(v)) || v < least || v > most {
		return 0, fmt.Errorf("must be a whole number between %v and %v, is %q", least, most, text)
	}
	return int(v), nil
}

// checkPools checks that the teams named by pools exist.
func (s *Settings) checkPools() error {
	for _, p := range s.Tunables.Pools {
		for _, share := range p.Shares {
			if !slices.ContainsFunc(s.Deployment.Teams, func(t Team) bool { return t.Name == share.Team }) {
				return newFieldError(poolPrefix+p.Name+".teams", "no such team: %q", share.Team)
			}
		}
	}
	return nil
}

// ReceiptKeys returns the files with the keys for receipts. New receipts are signed with the first one.
func (t *Tunables) ReceiptKeys() []string { return SplitList(t.ReceiptKeyFiles) }

// SplitList splits a comma-separated list of names and leaves out empty ones.
func SplitList(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
