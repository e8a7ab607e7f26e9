package valuestore

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"bitternmoor/internal/core/eventlog"
)

type contents struct {
	Version int `json:"v"`
	Number  int `json:"n"`
}

func (c *contents) FormatVersion() int { return c.Version }

func TestDecodeKeepsTheNumberOfAnUnreadableValue(t *testing.T) {
	for name, test := range map[string]struct {
		key, data string
		number    int
		fails     bool
		version   int // of a *VersionError; 0: another error or none
	}{
		"readable":     {key: eventlog.ComponentValueKey("own", 7), data: `{"v":1,"n":5}`, number: 7},
		"key":          {key: "other", data: `{"v":1}`, number: NoNumber, fails: true},
		"not JSON":     {key: eventlog.ComponentValueKey("own", 8), data: `{`, number: 8, fails: true},
		"later format": {key: eventlog.ComponentValueKey("own", 9), data: `{"v":2}`, number: 9, fails: true, version: 2},
	} {
		t.Run(name, func(t *testing.T) {
			var got contents
			number, err := Decode("own", eventlog.ComponentValue{Key: test.key, Data: json.RawMessage(test.data)}, 1, &got)
			if number != test.number || (err != nil) != test.fails {
				t.Errorf("Decode returned number %d and error %v", number, err)
			}
			var wrongVersion *VersionError
			if is := errors.As(err, &wrongVersion); is != (test.version > 0) || (is && wrongVersion.Version != test.version) {
				t.Errorf("got %v, want a *VersionError only if the format version differs", err)
			}
			if !test.fails && got.Number != 5 {
				t.Errorf("decoded contents are %+v, want number 5", got)
			}
		})
	}
}

func TestWriterFollowsEachWriteToItsOutcome(t *testing.T) {
	log := eventlog.NewLog(eventlog.Limits{WriteRPS: 1e6, ValueBytes: 8192, TxnOps: 9}, "lead/epoch", 1, 0, 0)
	w := Writer[string]{Component: "own"}
	for number, details := range []string{"first", "second"} {
		if !w.Append(log, struct{}{}, number, json.RawMessage(`{}`), details) {
			t.Fatalf("%s value does not fit", details)
		}
	}
	if refused := w.TakeRefused(log); len(refused) > 0 || w.Len() != 2 {
		t.Fatalf("before any commit: refused %v, %d pending; want none refused and two pending", refused, w.Len())
	}
	if details, found := w.TakeDurable(0); !found || details != "first" {
		t.Errorf("the durable write is returned as %q, %v; want first, true", details, found)
	}
	if _, found := w.TakeDurable(0); found {
		t.Error("the same write was returned as durable twice")
	}
	if w.HasPending(func(s string) bool { return s == "first" }) || !w.HasPending(func(s string) bool { return s == "second" }) {
		t.Error("want only the second write pending")
	}
	for i := range 20 {
		now := time.Duration(i) * time.Second
		if txn := log.NextTransaction(now); txn != nil {
			log.CommitResult(now, txn.Sequence, eventlog.Applied, uint64(i+1), nil)
		}
	}
	if refused := w.TakeRefused(log); fmt.Sprint(refused) != "[second]" || w.Len() != 0 {
		t.Errorf("refused writes after all commits: %v, %d pending; want [second] and none", refused, w.Len())
	}
	large := json.RawMessage(`"` + string(make([]byte, 1<<20)) + `"`)
	if w.Append(log, struct{}{}, 2, large, "large") || w.Len() != 0 {
		t.Error("a value that is too large is pending")
	}
}
