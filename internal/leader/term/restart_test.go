package term

import (
	"testing"
	"time"

	"bitternmoor/internal/effects"
)

// answerTo passes a heartbeat to a term and returns the answer.
func answerTo(t *testing.T, term *Term, now time.Duration, in effects.RelayedHeartbeat) effects.HeartbeatAnswer {
	t.Helper()
	term.HandleHeartbeat(now, true, 1, in)
	term.Flush(now)
	term.Tick(now, true)
	for _, e := range term.DrainEffects() {
		if reply, ok := e.(effects.ReplyHeartbeat); ok {
			return reply.Answer
		}
	}
	t.Fatal("a heartbeat was not answered")
	return effects.HeartbeatAnswer{}
}

// TestReportWithoutTokenRaisesToken guards against a restarted worker that is given the token of its
// predecessor: a late report of that one would then prove the new tasks gone, and they would run twice.
func TestReportWithoutTokenRaisesToken(t *testing.T) {
	term, heartbeats := newFullTerm(1)
	old := heartbeats[0]
	old.Report.Seq = 5
	oldToken := answerTo(t, term, time.Second, old).Token
	machine := term.Inventory.Find(old.Report.Machine)

	restarted := old
	restarted.Report.Seq, restarted.Report.Token, restarted.Report.Tasks = 1, 0, nil
	newToken := answerTo(t, term, 2*time.Second, restarted).Token
	if newToken <= oldToken {
		t.Fatalf("a worker without a token was given %d, its predecessor had %d", newToken, oldToken)
	}
	restarted.Report.Seq, restarted.Report.Token = 2, newToken
	term.HandleHeartbeat(3*time.Second, true, 1, restarted)
	if machine.Seq != 2 {
		t.Fatalf("the newest report is number %d, want 2 of the restarted worker", machine.Seq)
	}
	late := old
	late.Report.Seq = 6
	term.HandleHeartbeat(4*time.Second, true, 1, late)
	if machine.Seq != 2 {
		t.Errorf("a late report of the former worker was applied, as number %d", machine.Seq)
	}
}
