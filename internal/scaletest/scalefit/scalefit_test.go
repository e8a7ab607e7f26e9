package scalefit

import (
	"math"
	"strings"
	"testing"

	"bitternmoor/internal/scaletest/scalerun"
)

func run(workers, starts, cpu float64) scalerun.Result {
	return scalerun.Result{Phases: []scalerun.Phase{{Name: "peak", Workers: workers, StartsPerS: starts, Teams: 7,
		Roles: []scalerun.Role{{Role: scalerun.RoleLeader, Processes: 1, CPU: cpu}}}}}
}

func processor(t *testing.T, fits []Fit) Fit {
	t.Helper()
	for _, f := range fits {
		if f.Role == scalerun.RoleLeader && f.Cost == "processor" {
			return f
		}
	}
	t.Fatal("no fit for the leader's processor")
	return Fit{}
}

// TestFit checks that the fit of a linear cost returns its coefficients, and that values outside the
// measured range are reported as extrapolated.
func TestFit(t *testing.T) {
	var runs []scalerun.Result
	for _, x := range [][2]float64{{100, 10}, {200, 40}, {300, 20}, {400, 90}, {500, 50}} {
		runs = append(runs, run(x[0], x[1], 0.05+0.001*x[0]+0.002*x[1]))
	}
	fits, err := FitCosts(runs, []string{"peak"}, []string{"workers", "starts"})
	if err != nil {
		t.Fatal(err)
	}
	f := processor(t, fits)
	if math.Abs(f.Intercept-.05) > 1e-9 || math.Abs(f.Slopes[0]-.001) > 1e-12 || math.Abs(f.Slopes[1]-.002) > 1e-12 || f.Residual > 1e-9 || f.Points != 5 {
		t.Errorf("%+v", f)
	}
	if v, outside := f.At([]float64{300, 50}); outside || math.Abs(v-.45) > 1e-9 {
		t.Errorf("%v %v", v, outside)
	}
	if _, outside := f.At([]float64{500.5, 90}); outside {
		t.Error("a value at the end of the measured range is reported as extrapolated")
	}
	if v, outside := f.At([]float64{2100, 340}); !outside || math.Abs(v-2.83) > 1e-9 {
		t.Errorf("%v %v", v, outside)
	}
	runs[2].Phases[0].Roles[0].CPU += .1
	if fits, err = FitCosts(runs, []string{"peak"}, []string{"workers"}); err != nil || processor(t, fits).Residual < .01 {
		t.Errorf("the residual of data that is not linear is too small: %v", err)
	}
}

// TestFitRefuses checks that collinear or constant regressors, unknown names and too few points are
// refused.
func TestFitRefuses(t *testing.T) {
	together := []scalerun.Result{run(100, 10, 1), run(200, 20, 2), run(300, 30, 3), run(400, 40, 4)}
	for against, want := range map[string]string{"workers,starts": "are collinear", "teams": "is constant", "moons": "none of"} {
		if _, err := FitCosts(together, []string{"peak"}, strings.Split(against, ",")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", against, err)
		}
	}
	if _, err := FitCosts(together, []string{"rest"}, []string{"workers"}); err == nil || !strings.Contains(err.Error(), "0 runs") {
		t.Errorf("a phase that does not exist was not refused: %v", err)
	}
	if _, err := FitCosts(together[:2], []string{"peak"}, []string{"workers"}); err == nil {
		t.Error("a fit to two points was not refused")
	}
}
