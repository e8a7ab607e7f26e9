package sizing

import (
	"math"
	"slices"
	"testing"
)

var paperParams = Params{TrainingTasks: 5, Xi: 1, Delta: 60, InitialSize: 30}

func expectNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// Figure 3 of the HFSP paper, with sizes normalised to the service rate. Job 1 of size 3 and job 2
// of size 4 share the virtual cluster until time 3, when job 3 of size 3 arrives. The virtual size
// of job 2 is then 2.5, so it goes before job 3 although its size is larger.
func TestFigure3(t *testing.T) {
	estimator := New(paperParams)
	for j, size := range []float64{3, 4} {
		estimator.Add(int32(j+1), 0, 100, 1, false)
		estimator.Restore(int32(j+1), true, size, size)
	}
	estimator.Age(3, 1)
	expectNear(t, "job 1 at 3", estimator.VirtualSize(1), 1.5)
	expectNear(t, "job 2 at 3", estimator.VirtualSize(2), 2.5)
	estimator.Remove(1, true, 3, 1)
	estimator.Add(3, 0, 100, 1, false)
	estimator.Restore(3, true, 3, 3)
	if got := estimator.Order(); !slices.Equal(got, []int32{2, 3}) {
		t.Errorf("order is %v, want job 2 before job 3", got)
	}
}

func TestInitialAndFinalSizes(t *testing.T) {
	estimator := New(paperParams)
	estimator.Add(0, 0, 4, 1, false)
	expectNear(t, "tiny job", estimator.VirtualSize(0), 0)
	estimator.Add(1, 0, 8, 1, false)
	expectNear(t, "no history", estimator.VirtualSize(1), 30)
	estimator.Remove(0, true, 40, 4)
	estimator.Add(2, 0, 8, 1, false)
	expectNear(t, "n·ξ·s̄", estimator.VirtualSize(2), 80)
	for k := range 4 {
		estimator.TaskStarted(2, k, 0)
		estimator.TaskCompleted(2, k, 20)
	}
	estimator.TaskStarted(2, 4, 10)
	if _, ok := estimator.FinalizeSize(2, 69); ok {
		t.Fatal("the size is final before Δ")
	}
	size, ok := estimator.FinalizeSize(2, 70)
	if !ok {
		t.Fatal("the size is not final at Δ")
	}
	// s̄ = (4·20 + 120)/5 = 40; (8−5) + 0.5 tasks are left.
	expectNear(t, "S_f", size, 140)
	estimator.TaskCompleted(2, 4, 500)
	if _, ok := estimator.FinalizeSize(2, 600); ok {
		t.Error("the final size is set twice")
	}
}

func TestAgingIsMaxMinFair(t *testing.T) {
	estimator := New(paperParams)
	estimator.Add(0, 0, 10, 1, false)
	estimator.Add(1, 0, 10, 4, false)
	estimator.Add(2, 0, 10, 1, false)
	for j := range int32(3) {
		estimator.Restore(j, true, 1000, 1000)
	}
	// 30 processors give a fair share of 10 each. Jobs 0 and 2 can use exactly 10.
	estimator.Age(1, 30)
	expectNear(t, "job 0", estimator.VirtualSize(0), 990)
	expectNear(t, "job 1", estimator.VirtualSize(1), 997.5)
	// Of 60 processors, those that jobs 0 and 2 leave go to job 1, so that all 10 of its tasks run.
	estimator.Age(2, 60)
	expectNear(t, "job 0", estimator.VirtualSize(0), 980)
	expectNear(t, "job 1", estimator.VirtualSize(1), 987.5)
}

func TestFirstTasksTrainButNotOfGangs(t *testing.T) {
	estimator := New(paperParams)
	estimator.Add(0, 0, 20, 1, true)
	if estimator.Training(0, 0) {
		t.Error("a task of a gang is a training task")
	}
	estimator.Add(1, 0, 20, 1, false)
	if !estimator.Training(1, 4) || estimator.Training(1, 5) {
		t.Error("the first t tasks, and no others, should be training tasks")
	}
	estimator.TaskStarted(1, 0, 1)
	estimator.TaskLost(1, 0)
	for k := 1; k < 5; k++ {
		estimator.TaskCompleted(1, k, 10)
	}
	if _, ok := estimator.FinalizeSize(1, 1000); ok {
		t.Error("a lost training task counted as running")
	}
}

// A team gets no more than its limit in the virtual cluster either. Its jobs share the limit
// max-min fairly, and the other processors go to the other teams.
func TestAgingWithinTeamLimits(t *testing.T) {
	estimator := New(paperParams)
	estimator.Limits = []float64{4, 0}
	for j, tasks := range []int{100, 100, 1, 100} {
		estimator.Add(int32(j), int32(j/3), tasks, 1, true)
		estimator.Restore(int32(j), true, 100, 100)
	}
	estimator.Age(1, 20)
	expectNear(t, "first of the limited team", estimator.VirtualSize(0), 98.5)
	expectNear(t, "second of the limited team", estimator.VirtualSize(1), 98.5)
	expectNear(t, "its one-task job", estimator.VirtualSize(2), 99)
	expectNear(t, "job of the other team", estimator.VirtualSize(3), 84)
}
