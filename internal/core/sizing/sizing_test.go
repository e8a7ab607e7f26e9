package sizing

import (
	"math"
	"slices"
	"testing"
)

var paperParams = Params{Train: 5, Xi: 1, Delta: 60, First: 30}

func expectNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// The paper's Figure 3: sizes are normalised to the service rate. Job 1 of 3
// and job 2 of 4 share the virtual cluster until time 3, when job 3 of 3
// arrives; job 2 is then 2.5 and goes before job 3 although really larger.
func TestFigure3(t *testing.T) {
	b := New(paperParams)
	for j, size := range []float64{3, 4} {
		b.Add(int32(j+1), 0, 100, 1, false)
		b.Restore(int32(j+1), true, size, size)
	}
	b.Age(3, 1)
	expectNear(t, "job 1 at 3", b.Virtual(1), 1.5)
	expectNear(t, "job 2 at 3", b.Virtual(2), 2.5)
	b.Remove(1, true, 3, 1)
	b.Add(3, 0, 100, 1, false)
	b.Restore(3, true, 3, 3)
	if got := b.Order(); !slices.Equal(got, []int32{2, 3}) {
		t.Errorf("order is %v, want job 2 before job 3", got)
	}
}

func TestInitialAndFinalSizes(t *testing.T) {
	b := New(paperParams)
	b.Add(0, 0, 4, 1, false)
	expectNear(t, "tiny job", b.Virtual(0), 0)
	b.Add(1, 0, 8, 1, false)
	expectNear(t, "no history", b.Virtual(1), 30)
	b.Remove(0, true, 40, 4)
	b.Add(2, 0, 8, 1, false)
	expectNear(t, "n·ξ·s̄", b.Virtual(2), 80)
	for k := range 4 {
		b.Began(2, k, 0)
		b.Completed(2, k, 20)
	}
	b.Began(2, 4, 10)
	if _, ok := b.Settle(2, 69); ok {
		t.Fatal("settled before Δ")
	}
	size, ok := b.Settle(2, 70)
	if !ok {
		t.Fatal("not settled at Δ")
	}
	// s̄ = (4·20 + 120)/5 = 40; (8−5) + 0.5 tasks are left.
	expectNear(t, "S_f", size, 140)
	b.Completed(2, 4, 500)
	if _, ok := b.Settle(2, 600); ok {
		t.Error("size set twice")
	}
}

func TestAgingIsMaxMinFair(t *testing.T) {
	b := New(paperParams)
	b.Add(0, 0, 10, 1, false)
	b.Add(1, 0, 10, 4, false)
	b.Add(2, 0, 10, 1, false)
	for j := range int32(3) {
		b.Restore(j, true, 1000, 1000)
	}
	// 30 processors, fair share 10 each: jobs 0 and 2 can use just 10.
	b.Age(1, 30)
	expectNear(t, "job 0", b.Virtual(0), 990)
	expectNear(t, "job 1", b.Virtual(1), 997.5)
	// With 60, what 0 and 2 leave goes to job 1: all 10 of its tasks run.
	b.Age(2, 60)
	expectNear(t, "job 0", b.Virtual(0), 980)
	expectNear(t, "job 1", b.Virtual(1), 987.5)
}

func TestFirstTasksTrainButNotOfGangs(t *testing.T) {
	b := New(paperParams)
	b.Add(0, 0, 20, 1, true)
	if b.Training(0, 0) {
		t.Error("a gang trains")
	}
	b.Add(1, 0, 20, 1, false)
	if !b.Training(1, 4) || b.Training(1, 5) {
		t.Error("the first t tasks train, no others")
	}
	b.Began(1, 0, 1)
	b.Lost(1, 0)
	for k := 1; k < 5; k++ {
		b.Completed(1, k, 10)
	}
	if _, ok := b.Settle(1, 1000); ok {
		t.Error("a lost training task counted as running")
	}
}

// A team at its limit gets no more than that in the virtual cluster either,
// and its jobs share it max-min; the rest goes to the others.
func TestAgingWithinTeamLimits(t *testing.T) {
	b := New(paperParams)
	b.Limits = []float64{4, 0}
	for j, tasks := range []int{100, 100, 1, 100} {
		b.Add(int32(j), int32(j/3), tasks, 1, true)
		b.Restore(int32(j), true, 100, 100)
	}
	b.Age(1, 20)
	expectNear(t, "first of the limited team", b.Virtual(0), 98.5)
	expectNear(t, "second of the limited team", b.Virtual(1), 98.5)
	expectNear(t, "its one-task job", b.Virtual(2), 99)
	expectNear(t, "job of the other team", b.Virtual(3), 84)
}
