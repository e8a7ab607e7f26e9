package workers

import (
	"slices"
	"time"
)

// QueueRegistry returns true, once, if the machine has to be registered durably: the caller then writes its
// registration.
func (m *Machine) QueueRegistry() bool {
	if m.Durable || m.registryQueued {
		return false
	}
	m.registryQueued = true
	return true
}

// MayHaveTasksOf says whether tasks of a job, by its id, may be on the machine while it is unresolved: the job
// has a grant on it, or no grants are noted for it at all.
func (m *Machine) MayHaveTasksOf(job uint64) bool { return m.Grants[job] || m.Number == 0 }

// AwaitsDurability says whether something must become durable before the worker can be told to start what is
// planned on the machine: its registration, a grant, or the intent to start a task.
func (m *Machine) AwaitsDurability() bool {
	if !m.Durable {
		return m.registryQueued
	}
	for _, p := range m.Tasks {
		if p.Planned && (!m.Grants[p.JobID] || !p.IntentDurable) {
			return true
		}
	}
	return false
}

// UnusedGrants returns the jobs, by ascending id, whose grants may be revoked. For as long as after there was
// no task of the job placed, planned or on offer here, nor did a report show any, orphans included. r is the
// report that was just applied; it is at the current token.
func (m *Machine) UnusedGrants(now, after time.Duration, r *Report) []uint64 {
	used := m.jobsInUse(r)
	var unused []uint64
	for id, durable := range m.Grants {
		if _, inUse := slices.BinarySearch(used, id); inUse || !durable {
			delete(m.grantUnusedSince, id)
			continue
		}
		since, noted := m.grantUnusedSince[id]
		switch {
		case !noted:
			if m.grantUnusedSince == nil {
				m.grantUnusedSince = map[uint64]time.Duration{}
			}
			m.grantUnusedSince[id] = now
		case now-since >= after:
			unused = append(unused, id)
		}
	}
	slices.Sort(unused)
	return unused
}

// jobsInUse lists the ids of the jobs that have a task placed, planned or on offer on the machine, or in its
// report, in ascending order and with repetitions.
func (m *Machine) jobsInUse(r *Report) []uint64 {
	var used []uint64
	for _, p := range m.Tasks {
		used = append(used, p.JobID)
	}
	for _, p := range m.OpenOffers {
		used = append(used, p.JobID)
	}
	for _, t := range r.Tasks {
		used = append(used, t.Job)
	}
	slices.Sort(used)
	return used
}

// RevokeGrant removes the grant of a job, by its id.
func (m *Machine) RevokeGrant(job uint64) {
	delete(m.Grants, job)
	delete(m.grantUnusedSince, job)
}
