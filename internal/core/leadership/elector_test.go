package leadership

import (
	"testing"
	"time"
)

const (
	testTTL = 3 * time.Second
	// electedAt is when elect creates the lease.
	electedAt = 10 * time.Second
)

// oneRequest returns the only request of a list and fails the test unless it has the action.
func oneRequest(t *testing.T, requests []Request, action Action) Request {
	t.Helper()
	if len(requests) != 1 || requests[0].Action != action {
		t.Fatalf("requests %+v, want one of action %d", requests, action)
	}
	return requests[0]
}

// elect makes an elector the leader of epoch 5 with lease 77.
func elect(t *testing.T, e *Elector) {
	t.Helper()
	const now = electedAt
	read := oneRequest(t, e.Tick(now), ReadKeys)
	create := oneRequest(t, e.KeysRead(now, read.Sequence, true, View{Epoch: 4, EpochVersion: 40}), CreateLease)
	claim := oneRequest(t, e.LeaseCreated(now+time.Second, create.Sequence, true, 77), ClaimLeadership)
	if claim.LeaseID != 77 || claim.View.EpochVersion != 40 {
		t.Fatalf("claim %+v, want lease 77 and epoch version 40", claim)
	}
	if out := e.LeadershipClaimed(now+time.Second, claim.Sequence, true, 50); out != nil {
		t.Fatalf("a new leader returned requests: %+v", out)
	}
	if e.Role() != Leader || e.Epoch() != 5 || e.EpochVersion() != 50 || e.LeaderName() != "a" {
		t.Fatalf("role %d, epoch %d, version %d, leader %q", e.Role(), e.Epoch(), e.EpochVersion(), e.LeaderName())
	}
}

func TestLeaseValidityCountsFromItsCreation(t *testing.T) {
	e := NewElector("a", testTTL)
	elect(t, e)
	// The lease's time to live, less a thousandth for clock drift and a margin of 60 ms.
	end := electedAt + testTTL - 3*time.Millisecond - 60*time.Millisecond
	if !e.LeaseValid(end - 1) {
		t.Error("the lease is invalid before its validity ends")
	}
	if e.LeaseValid(end) {
		t.Error("the lease is still valid when another node may lead")
	}
}

func TestRenewal(t *testing.T) {
	const renewedAt = electedAt + 2*time.Second
	for name, c := range map[string]struct {
		ok, gone bool
		role     Role
		valid    bool // two seconds after the renewal was sent
	}{
		"succeeded":               {ok: true, role: Leader, valid: true},
		"failed":                  {role: Leader},
		"lease is gone":           {gone: true, role: Follower},
		"gone, and counted as ok": {ok: true, gone: true, role: Follower},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewElector("a", testTTL)
			elect(t, e)
			var renewal Request
			for _, request := range e.Tick(renewedAt) {
				if request.Action == RenewLease {
					renewal = request
				}
			}
			if renewal.LeaseID != 77 {
				t.Fatalf("renewal %+v, want lease 77", renewal)
			}
			e.LeaseRenewed(renewedAt+time.Second, renewal.Sequence, c.ok, c.gone)
			if e.Role() != c.role || e.LeaseValid(renewedAt+2*time.Second) != c.valid {
				t.Errorf("role %d, lease valid %v", e.Role(), e.LeaseValid(renewedAt+2*time.Second))
			}
		})
	}
}

// A claim without an answer counts as failed: the lease is released, so that the holder key is
// deleted if the claim is applied after all.
func TestFailedClaimReleasesTheLease(t *testing.T) {
	e := NewElector("a", testTTL)
	now := 10 * time.Second
	read := oneRequest(t, e.Tick(now), ReadKeys)
	create := oneRequest(t, e.KeysRead(now, read.Sequence, true, View{}), CreateLease)
	claim := oneRequest(t, e.LeaseCreated(now, create.Sequence, true, 77), ClaimLeadership)
	release := oneRequest(t, e.LeadershipClaimed(now, claim.Sequence, false, 0), ReleaseLease)
	if release.LeaseID != 77 || e.Role() != Follower || e.LeaseValid(now) {
		t.Errorf("lease %d released, role %d", release.LeaseID, e.Role())
	}
	if out := e.LeadershipClaimed(now, claim.Sequence, true, 50); out != nil || e.Role() != Follower {
		t.Error("a late answer to the claim made the node a leader")
	}
}

func TestLeaderStepsDown(t *testing.T) {
	const now = 11 * time.Second
	for name, c := range map[string]struct {
		event func(e *Elector)
		role  Role
	}{
		"for a heartbeat of a higher epoch":     {func(e *Elector) { e.HeartbeatReceived(now, "b", 6, FleetKnown) }, Follower},
		"not for a heartbeat of a lower epoch":  {func(e *Elector) { e.HeartbeatReceived(now, "b", 4, FleetKnown) }, Leader},
		"not for a heartbeat of its own":        {func(e *Elector) { e.HeartbeatReceived(now, "a", 6, FleetKnown) }, Leader},
		"when it is superseded":                 {func(e *Elector) { e.EpochObserved(now, 6) }, Follower},
		"not when its own epoch is observed":    {func(e *Elector) { e.EpochObserved(now, 5) }, Leader},
		"when it resigns":                       {func(e *Elector) { e.Resign(now, time.Second) }, Follower},
		"not for the result of an unknown call": {func(e *Elector) { e.LeaseRenewed(now, 999, false, true) }, Leader},
		"not for keys that it did not request":  {func(e *Elector) { e.KeysRead(now, 999, true, View{Epoch: 6}) }, Leader},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewElector("a", testTTL)
			elect(t, e)
			c.event(e)
			if e.Role() != c.role {
				t.Errorf("role %d, want %d", e.Role(), c.role)
			}
			if e.LeaseValid(now) != (c.role == Leader) {
				t.Errorf("lease valid: %v", e.LeaseValid(now))
			}
		})
	}
}

// After resigning, a node watches the keys and does not stand for election until the pause is over.
func TestResignedNodePauses(t *testing.T) {
	e := NewElector("a", testTTL)
	elect(t, e)
	release := oneRequest(t, e.Resign(11*time.Second, 5*time.Second), ReleaseLease)
	if release.LeaseID != 77 {
		t.Errorf("lease %d released, want 77", release.LeaseID)
	}
	read := oneRequest(t, e.Tick(12*time.Second), ReadKeys)
	watch := oneRequest(t, e.KeysRead(12*time.Second, read.Sequence, true, View{Epoch: 5}), WatchKeys)
	read = oneRequest(t, e.WatchEnded(17*time.Second, watch.Sequence, true), ReadKeys)
	oneRequest(t, e.KeysRead(17*time.Second, read.Sequence, true, View{Epoch: 5}), CreateLease)
}

// A follower that has observed no leader for SilenceLimit, and no recent answer of the state service,
// reads the keys in addition to its watch.
func TestSilentLeaderCausesRead(t *testing.T) {
	e := NewElector("a", testTTL)
	e.SilenceLimit = 4 * time.Second
	now := 10 * time.Second
	read := oneRequest(t, e.Tick(now), ReadKeys)
	holder := View{Holder: &LeaseHolder{Node: "b", Epoch: 7}, Epoch: 7}
	oneRequest(t, e.KeysRead(now, read.Sequence, true, holder), WatchKeys)
	if e.LeaderName() != "b" || !e.Watching() {
		t.Fatalf("leader %q, watching %v", e.LeaderName(), e.Watching())
	}
	if out := e.Tick(now + e.SilenceLimit - 1); out != nil {
		t.Errorf("requests before SilenceLimit has passed: %+v", out)
	}
	e.HeartbeatReceived(now+3*time.Second, "b", 7, FleetReconciling)
	if out := e.Tick(now + e.SilenceLimit); out != nil {
		t.Errorf("requests although a heartbeat was received: %+v", out)
	}
	oneRequest(t, e.Tick(now+3*time.Second+e.SilenceLimit), ReadKeys)
}

func TestPreviousLeader(t *testing.T) {
	e := NewElector("a", testTTL)
	e.HeartbeatReceived(1*time.Second, "b", 3, FleetKnown)
	e.HeartbeatReceived(5*time.Second, "b", 3, FleetKnown)
	e.HeartbeatReceived(8*time.Second, "c", 4, FleetReconciling)
	first := LeaderRecord{Known: true, Since: 1 * time.Second, Until: 5 * time.Second, Fleet: FleetKnown}
	second := LeaderRecord{Known: true, Since: 8 * time.Second, Until: 8 * time.Second, Fleet: FleetReconciling}
	for epoch, want := range map[uint64]LeaderRecord{4: first, 5: second} {
		if got := e.PreviousLeader(epoch); got != want {
			t.Errorf("before epoch %d: %+v, want %+v", epoch, got, want)
		}
	}
	if seen, _ := e.LeaderlessTimes(); seen != 8*time.Second {
		t.Errorf("a leader was last observed at %v, want 8s", seen)
	}
}
