package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// audit follows which tasks are on which machines, and finds broken rules.
type audit struct {
	rec *record

	mu       sync.Mutex
	on       map[string]map[string]bool // machines that a task is on
	doneOn   map[string]bool            // tasks that have completed
	startsOf map[string]int
	unknown  map[string]bool // tasks that workers were told to start and that nobody submitted
	broken   []string
}

func newAudit(rec *record) *audit {
	return &audit{rec: rec, on: map[string]map[string]bool{}, doneOn: map[string]bool{}, startsOf: map[string]int{}, unknown: map[string]bool{}}
}

func (a *audit) started(task, machine string, try uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rec.add("run: %s attempt %d begins on %s", task, try, machine)
	a.startsOf[task]++
	for other := range a.on[task] {
		if other != machine {
			a.breakRule(fmt.Sprintf("ran_twice: %s starts on %s while it is on %s", task, machine, other))
		}
	}
	if a.on[task] == nil {
		a.on[task] = map[string]bool{}
	}
	a.on[task][machine] = true
}

func (a *audit) ended(task, machine, why string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rec.add("run: %s ends on %s: %s", task, machine, why)
	delete(a.on[task], machine)
}

func (a *audit) done(task, machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rec.add("run: %s is done on %s", task, machine)
	delete(a.on[task], machine)
	a.doneOn[task] = true
}

// breakRule is called with the lock held.
func (a *audit) breakRule(what string) {
	a.rec.add("BROKEN %s", what)
	a.broken = append(a.broken, what)
}

// starts returns how often a task has begun.
func (a *audit) starts(task string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.startsOf[task]
}

// startsOfJob returns how many tasks of a job have begun.
func (a *audit) startsOfJob(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for task := range a.startsOf {
		if strings.HasPrefix(task, id+"/") {
			n++
		}
	}
	return n
}

// allStarts returns how often any task has begun.
func (a *audit) allStarts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := 0
	for _, n := range a.startsOf {
		sum += n
	}
	return sum
}

// doneTasks returns how many tasks of a job have completed.
func (a *audit) doneTasks(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for task := range a.doneOn {
		if strings.HasPrefix(task, id+"/") {
			n++
		}
	}
	return n
}

func (a *audit) isDone(id string, tasks int) bool { return a.doneTasks(id) == tasks }

func (a *audit) unknownStart(task, machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.unknown[task] {
		a.rec.add("%s is told to start %s, which nobody submitted", machine, task)
	}
	a.unknown[task] = true
}

// unknownStarts returns the tasks that workers were told to start and that nobody submitted.
func (a *audit) unknownStarts() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.unknown))
}

// violations returns the broken rules.
func (a *audit) violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.broken...)
}
