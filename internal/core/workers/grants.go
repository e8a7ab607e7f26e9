package workers

import (
	"slices"
	"time"
)

// QueueRegistry says, once, that the machine has to be registered.
func (m *Machine) QueueRegistry() bool {
	if m.Durable || m.registryQueued {
		return false
	}
	m.registryQueued = true
	return true
}

// MayHaveTasksOf says whether tasks of a job may be on a machine that is unresolved: it has a
// grant, or none were noted there at all.
func (m *Machine) MayHaveTasksOf(job uint64) bool { return m.Grants[job] || m.Number == 0 }

// AwaitsDurability says whether something must become durable before the machine can be
// told to start what is planned on it.
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

// UnusedGrants returns the jobs whose grants may be taken back: for a while now
// neither a task of theirs counts as being here, nor is one planned or on offer
// here, nor does the report just taken in, which is at the current token, show
// any, wanted or not.
func (m *Machine) UnusedGrants(now, after time.Duration, r *Report) []uint64 {
	var used, out []uint64
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
	for id, durable := range m.Grants {
		if _, found := slices.BinarySearch(used, id); found || !durable {
			delete(m.grantUnusedSince, id)
			continue
		}
		since, known := m.grantUnusedSince[id]
		switch {
		case !known:
			if m.grantUnusedSince == nil {
				m.grantUnusedSince = map[uint64]time.Duration{}
			}
			m.grantUnusedSince[id] = now
		case now-since >= after:
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RevokeGrant forgets that a job may have tasks here.
func (m *Machine) RevokeGrant(job uint64) {
	delete(m.Grants, job)
	delete(m.grantUnusedSince, job)
}
