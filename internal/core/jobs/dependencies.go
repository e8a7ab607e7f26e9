package jobs

import "slices"

// Links between jobs: which follow which. They are kept between open jobs
// only; a job that is over has none. So whatever happens to a job costs work
// for its own neighbours alone.

// AddDependency notes that a job waits for another, open one.
func (t *Table) AddDependency(j, before *Job) {
	j.Dependencies = append(j.Dependencies, before.Index)
	before.Dependents = append(before.Dependents, j.Index)
}

// RemoveDependency takes a job that is over out of all links. It returns the jobs that
// waited for it.
func (t *Table) RemoveDependency(j *Job) []*Job {
	var waited []*Job
	for _, i := range j.Dependents {
		f := t.jobs[i]
		f.Dependencies = removeIndex(f.Dependencies, j.Index)
		waited = append(waited, f)
	}
	for _, i := range j.Dependencies {
		b := t.jobs[i]
		b.Dependents = removeIndex(b.Dependents, j.Index)
	}
	j.Dependencies, j.Dependents = nil, nil
	return waited
}

func removeIndex(list []int32, i int32) []int32 {
	return slices.DeleteFunc(list, func(o int32) bool { return o == i })
}

// TransitiveDependents lists the open jobs that need a job, directly or through others,
// each once.
func (t *Table) TransitiveDependents(j *Job) []*Job {
	return t.transitiveClosure(j, func(x *Job) []int32 { return x.Dependents })
}

// TransitiveDependencies lists the open jobs that a job needs, directly or through others,
// each once.
func (t *Table) TransitiveDependencies(j *Job) []*Job {
	return t.transitiveClosure(j, func(x *Job) []int32 { return x.Dependencies })
}

func (t *Table) transitiveClosure(j *Job, next func(*Job) []int32) []*Job {
	var out []*Job
	seen := map[int32]bool{j.Index: true}
	for todo := []*Job{j}; len(todo) > 0; {
		x := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, i := range next(x) {
			if !seen[i] {
				seen[i] = true
				out = append(out, t.jobs[i])
				todo = append(todo, t.jobs[i])
			}
		}
	}
	return out
}
