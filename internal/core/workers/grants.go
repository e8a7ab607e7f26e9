package workers

import (
	"slices"
	"time"
)

// QueueRegistration returns true the first time that it is called for a machine whose registration is not
// durable. The caller must then write the registration to the event log.
func (m *Machine) QueueRegistration() bool {
	if m.Durable || m.registrationQueued {
		return false
	}
	m.registrationQueued = true
	return true
}

// MayHaveTasksOf reports whether tasks of a job, given by its id, may be on the machine while it is
// unresolved: the job has a grant on it, or no grants are recorded for the machine at all.
func (m *Machine) MayHaveTasksOf(job uint64) bool { return m.Grants[job] || m.Number == 0 }

// AwaitsDurability reports whether a record must become durable before the tasks planned on the machine can
// be started: its registration, if that is being written, or else a grant or the intent to start a task.
func (m *Machine) AwaitsDurability() bool {
	if !m.Durable {
		return m.registrationQueued
	}
	for _, p := range m.Tasks {
		if p.Planned && (!m.Grants[p.JobID] || !p.IntentDurable) {
			return true
		}
	}
	return false
}

// UnusedGrants returns the ids of the jobs whose durable grants may be revoked, in ascending order: for at
// least the duration minIdle, no task of the job was placed here, planned here or offered to the machine, and
// no report listed one, orphans included. r is the report that was just applied; it must be at the current
// token.
func (m *Machine) UnusedGrants(now, minIdle time.Duration, r *Report) []uint64 {
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
		case now-since >= minIdle:
			unused = append(unused, id)
		}
	}
	slices.Sort(unused)
	return unused
}

// jobsInUse returns the ids of the jobs that have a task placed on the machine, planned on it, offered to
// it or listed in its report, in ascending order and with duplicates.
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

// RevokeGrant removes the grant of a job, given by its id.
func (m *Machine) RevokeGrant(job uint64) {
	delete(m.Grants, job)
	delete(m.grantUnusedSince, job)
}
