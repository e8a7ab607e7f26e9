package jobs

import "slices"

// Dependencies form a directed acyclic graph of jobs. They are stored between open jobs only, and a job
// that is over has none. A change of one job therefore updates only its direct neighbours in the graph.

// AddDependency records that a job waits for another job, which is open.
func (t *Table) AddDependency(j, dependency *Job) {
	j.Dependencies = append(j.Dependencies, dependency.Index)
	dependency.Dependents = append(dependency.Dependents, j.Index)
}

// RemoveFromGraph removes a job that is over from the dependency graph. It returns the jobs that waited
// for it.
func (t *Table) RemoveFromGraph(j *Job) []*Job {
	var dependents []*Job
	for _, i := range j.Dependents {
		dependent := t.jobs[i]
		dependent.Dependencies = removeIndex(dependent.Dependencies, j.Index)
		dependents = append(dependents, dependent)
	}
	for _, i := range j.Dependencies {
		dependency := t.jobs[i]
		dependency.Dependents = removeIndex(dependency.Dependents, j.Index)
	}
	j.Dependencies, j.Dependents = nil, nil
	return dependents
}

// removeIndex removes a job's index from a list, in place.
func removeIndex(list []int32, index int32) []int32 {
	return slices.DeleteFunc(list, func(other int32) bool { return other == index })
}

// TransitiveDependents returns the open jobs that depend on a job, directly or transitively, each once.
func (t *Table) TransitiveDependents(j *Job) []*Job {
	return t.transitiveClosure(j, func(job *Job) []int32 { return job.Dependents })
}

// TransitiveDependencies returns the open jobs on which a job depends, directly or transitively, each once.
func (t *Table) TransitiveDependencies(j *Job) []*Job {
	return t.transitiveClosure(j, func(job *Job) []int32 { return job.Dependencies })
}

// transitiveClosure returns the jobs that can be reached from a job in any number of steps, each once and
// without the job itself. neighbours returns the indexes of the jobs that are one step away.
func (t *Table) transitiveClosure(from *Job, neighbours func(*Job) []int32) []*Job {
	var reached []*Job
	seen := map[int32]bool{from.Index: true}
	stack := []*Job{from}
	for len(stack) > 0 {
		top := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, i := range neighbours(top) {
			if !seen[i] {
				seen[i] = true
				reached = append(reached, t.jobs[i])
				stack = append(stack, t.jobs[i])
			}
		}
	}
	return reached
}
