package leadership

import "time"

const (
	// retryDelay is the delay before the keys are read again after a failed read.
	retryDelay = 300 * time.Millisecond
	// electionRetryDelay is the delay before the keys are read again after a failed election.
	electionRetryDelay = retryDelay / 3
	// watchRetryDelay is the delay before the keys are read again after a failed watch, which may
	// have missed a change.
	watchRetryDelay = 400 * time.Millisecond
)

// Tick returns the requests that are due.
func (e *Elector) Tick(now time.Duration) []Request {
	var out []Request
	if e.renewalDue(now) {
		out = append(out, e.call(now, RenewLease, &e.renewalCall))
	}
	if e.readDue(now) {
		out = append(out, e.call(now, ReadKeys, &e.readCall))
	}
	if e.role == Leader && e.watchCall == nil && e.viewKnown && now >= e.nextReadAt {
		out = append(out, e.call(now, WatchKeys, &e.watchCall))
	}
	return out
}

// readDue reports whether the keys must be read: they have not been read yet, no watch is open that
// would notice a change, or the watch may be cut off from the state service. A leader whose view of
// the keys is known does not read them.
func (e *Elector) readDue(now time.Duration) bool {
	if e.readCall != nil || e.electionCall != nil || now < e.nextReadAt {
		return false
	}
	if e.viewKnown && e.role == Leader {
		return false
	}
	return !e.viewKnown || e.leaderSilent(now) || (e.watchCall == nil && e.role != Candidate)
}

// KeysRead handles the result of ReadKeys. A leader steps down if the epoch has changed. On any other
// node, if no node leads and this one may stand for election, it starts an election; otherwise it opens
// a watch unless one is open.
func (e *Elector) KeysRead(now time.Duration, sequence uint64, ok bool, view View) []Request {
	if _, awaited := finish(&e.readCall, sequence); !awaited {
		return nil
	}
	if !ok {
		e.nextReadAt = now + retryDelay
		return nil
	}
	e.serviceAnsweredAt = now
	e.viewKnown = true
	e.view = view
	if view.Holder != nil {
		e.history.recordLeader(now, view.Holder.Epoch)
	} else {
		e.history.recordNoLeader(now)
	}
	if e.role == Leader {
		if view.Epoch != e.epoch {
			e.stepDown(now)
		}
		return nil
	}
	if view.Holder == nil && now >= e.nextAttemptAt {
		e.role = Candidate
		return []Request{e.call(now, CreateLease, &e.electionCall)}
	}
	if e.watchCall == nil {
		return []Request{e.call(now, WatchKeys, &e.watchCall)}
	}
	return nil
}

// WatchEnded handles the result of WatchKeys: ok means that something changed or that the watch timed
// out; otherwise the watch failed.
func (e *Elector) WatchEnded(now time.Duration, sequence uint64, ok bool) []Request {
	if _, awaited := finish(&e.watchCall, sequence); !awaited {
		return nil
	}
	if !ok {
		e.nextReadAt = now + watchRetryDelay
		return nil
	}
	e.serviceAnsweredAt = now
	if e.readCall == nil && e.electionCall == nil {
		return []Request{e.call(now, ReadKeys, &e.readCall)}
	}
	return nil
}

// LeaseCreated handles the result of CreateLease and claims leadership with the lease.
func (e *Elector) LeaseCreated(now time.Duration, sequence uint64, ok bool, leaseID uint64) []Request {
	createdAt, awaited := finish(&e.electionCall, sequence)
	if !awaited {
		return nil
	}
	if !ok {
		e.abandonElection(now)
		return nil
	}
	e.leaseID = leaseID
	// The claim is recorded with the send time of CreateLease: the lease's validity counts from then.
	return []Request{e.call(createdAt, ClaimLeadership, &e.electionCall)}
}

// LeadershipClaimed handles the result of ClaimLeadership; version is the revision of the change and
// therefore the version of both keys. An unanswered claim counts as failed: if it is applied after
// all, the release of the lease deletes the holder key again.
func (e *Elector) LeadershipClaimed(now time.Duration, sequence uint64, ok bool, version uint64) []Request {
	sentAt, awaited := finish(&e.electionCall, sequence)
	if !awaited {
		return nil
	}
	if !ok {
		release := e.newRequest(ReleaseLease) // before abandonElection, which clears leaseID
		e.abandonElection(now)
		return []Request{release}
	}
	e.role = Leader
	e.epoch = e.view.Epoch + 1
	e.epochVersion = version
	e.view.Epoch, e.view.EpochVersion, e.view.Revision = e.epoch, version, version
	e.view.Holder = &LeaseHolder{Node: e.node, Epoch: e.epoch}
	e.renewalSentAt = sentAt
	e.extendLease(sentAt)
	return nil
}

// abandonElection turns a candidate into a follower that reads the keys after electionRetryDelay.
func (e *Elector) abandonElection(now time.Duration) {
	e.role = Follower
	e.leaseID = 0
	e.nextReadAt = now + electionRetryDelay
	e.nextAttemptAt = now
	e.viewKnown = false
}
