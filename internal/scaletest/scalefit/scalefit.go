// Package scalefit fits the resource costs of roles as linear functions of the size of a
// deployment, by least squares over the results of scale runs of several sizes.
package scalefit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/mat"

	"bitternmoor/internal/scaletest/scalerun"
)

// regressors maps the names of the variables that a cost may be fitted against to their values.
var regressors = map[string]func(p *scalerun.Phase) float64{
	"workers": func(p *scalerun.Phase) float64 { return p.Workers },
	"starts":  func(p *scalerun.Phase) float64 { return p.StartsPerS },
	"running": func(p *scalerun.Phase) float64 { return p.Running },
	"teams":   func(p *scalerun.Phase) float64 { return float64(p.Teams) },
}

// Regressors returns the sorted names of the variables that a cost may be fitted against.
func Regressors() []string {
	names := []string{}
	for n := range regressors {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Fit is one cost of a role, fitted as a linear function of the regressors.
type Fit struct {
	Role      string    `json:"role"`
	Cost      string    `json:"cost"`
	Unit      string    `json:"unit"`
	Against   []string  `json:"against"`
	Slopes    []float64 `json:"slopes"` // one for each regressor
	Intercept float64   `json:"intercept"`
	Residual  float64   `json:"residual"` // root mean square
	Points    int       `json:"points"`   // number of phases
	From      []float64 `json:"from"`     // lower end of the measured range of each regressor
	To        []float64 `json:"to"`       // upper end
}

// At returns the cost at the given values of the regressors. It reports extrapolated if one of them
// lies outside the measured range.
func (f *Fit) At(at []float64) (value float64, extrapolated bool) {
	value = f.Intercept
	for i, x := range at {
		value += f.Slopes[i] * x
		slack := rangeSlack * math.Abs(x)
		extrapolated = extrapolated || x < f.From[i]-slack || x > f.To[i]+slack
	}
	return value, extrapolated
}

// rangeSlack is the share of a value by which it may lie outside the measured range without
// counting as extrapolated, because the measured values are means over a phase.
const rangeSlack = 0.005

// cost is a fitted quantity; value returns its value in a phase, or false if the phase has none.
type cost struct {
	role, name, unit string
	value            func(p *scalerun.Phase) (float64, bool)
}

func roleCost(role, name, unit string, value func(r *scalerun.Role) float64) cost {
	return cost{role, name, unit, func(p *scalerun.Phase) (float64, bool) {
		for i := range p.Roles {
			if r := &p.Roles[i]; r.Role == role && r.Processes > 0 {
				return value(r), true
			}
		}
		return 0, false
	}}
}

func costs() []cost {
	var out []cost
	for _, role := range []string{scalerun.RoleLeader, scalerun.RoleController, scalerun.RoleState, scalerun.RoleWorker, scalerun.RoleHollow} {
		out = append(out, roleCost(role, "processor", "cores", func(r *scalerun.Role) float64 { return r.CPU }),
			roleCost(role, "memory", "MiB", func(r *scalerun.Role) float64 { return r.RSSMiB }))
		if role == scalerun.RoleState {
			continue
		}
		out = append(out, roleCost(role, "received", "kB/s", func(r *scalerun.Role) float64 { return r.InKBPerS }),
			roleCost(role, "sent", "kB/s", func(r *scalerun.Role) float64 { return r.OutKBPerS }),
			roleCost(role, "messages", "1/s", func(r *scalerun.Role) float64 { return r.MessagesPS }))
		if role == scalerun.RoleLeader || role == scalerun.RoleController {
			out = append(out, roleCost(role, "sockets", "", func(r *scalerun.Role) float64 { return float64(r.Sockets) }))
		}
	}
	state := func(name, unit string, value func(u *scalerun.StateUse) float64) cost {
		return cost{scalerun.RoleState, name, unit, func(p *scalerun.Phase) (float64, bool) { return value(&p.State), true }}
	}
	return append(out, state("requests", "1/s", func(u *scalerun.StateUse) float64 { return u.RequestsPerS }),
		state("changes", "1/s", func(u *scalerun.StateUse) float64 { return u.WritesPerS }),
		state("written", "kB/s", func(u *scalerun.StateUse) float64 { return u.WrittenKBPS }),
		state("log", "kB", func(u *scalerun.StateUse) float64 { return u.LogKBMost }))
}

// FitCosts fits all costs against the regressors, over all phases that have one of the given names.
func FitCosts(results []scalerun.Result, names, against []string) ([]Fit, error) {
	var variables []func(p *scalerun.Phase) float64
	for _, name := range against {
		f, ok := regressors[name]
		if !ok {
			return nil, fmt.Errorf("against: %q is none of %s", name, strings.Join(Regressors(), ", "))
		}
		variables = append(variables, f)
	}
	var phases []*scalerun.Phase
	for i := range results {
		for k := range results[i].Phases {
			if p := &results[i].Phases[k]; slices.Contains(names, p.Name) {
				phases = append(phases, p)
			}
		}
	}
	if len(phases) < len(against)+2 {
		return nil, fmt.Errorf("phase: %d runs have a phase %s, but at least %d are needed", len(phases), strings.Join(names, " or "), len(against)+2)
	}
	var fits []Fit
	for _, c := range costs() {
		f, err := fit(c, phases, against, variables)
		if err != nil {
			return nil, err
		}
		if f != nil {
			fits = append(fits, *f)
		}
	}
	return fits, nil
}

// maxCondition is the largest condition number of the regressors at which a fit is accepted. Above
// it, collinearity makes the slopes unreliable (Belsley, Kuh and Welsch, "Regression Diagnostics").
const maxCondition = 30

// fit fits one cost. It returns nil if too few phases have this cost.
func fit(c cost, phases []*scalerun.Phase, against []string, variables []func(p *scalerun.Phase) float64) (*Fit, error) {
	var xs, ys []float64
	f := &Fit{Role: c.role, Cost: c.name, Unit: c.unit, Against: against, From: filled(len(variables), math.Inf(1)), To: filled(len(variables), math.Inf(-1))}
	for _, p := range phases {
		y, ok := c.value(p)
		if !ok {
			continue
		}
		ys = append(ys, y)
		xs = append(xs, 1)
		for i, x := range variables {
			v := x(p)
			xs = append(xs, v)
			f.From[i], f.To[i] = min(f.From[i], v), max(f.To[i], v)
		}
	}
	f.Points = len(ys)
	if f.Points < len(variables)+2 {
		return nil, nil
	}
	// The columns are scaled to the same magnitude first, so that the condition number reflects
	// only the collinearity of the regressors.
	scale := filled(len(variables)+1, 0)
	for i, x := range xs {
		scale[i%len(scale)] = max(scale[i%len(scale)], math.Abs(x))
	}
	for i := range xs {
		xs[i] /= cmp.Or(scale[i%len(scale)], 1)
	}
	a := mat.NewDense(f.Points, len(scale), xs)
	if mat.Cond(a, 2) > maxCondition {
		return nil, fmt.Errorf("against: %s are collinear, or one of them is constant, in these runs", strings.Join(against, ", "))
	}
	b := mat.NewVecDense(f.Points, ys)
	var solved mat.VecDense
	if err := solved.SolveVec(a, b); err != nil {
		return nil, fmt.Errorf("against: %w", err)
	}
	f.Intercept = solved.AtVec(0) / scale[0]
	for i := range variables {
		f.Slopes = append(f.Slopes, solved.AtVec(i+1)/cmp.Or(scale[i+1], 1))
	}
	var estimate mat.VecDense
	estimate.MulVec(a, &solved)
	estimate.SubVec(b, &estimate)
	f.Residual = mat.Norm(&estimate, 2) / math.Sqrt(float64(f.Points))
	return f, nil
}

func filled(n int, v float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = v
	}
	return out
}
