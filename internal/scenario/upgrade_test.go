package scenario

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/leadership"
	"bitternmoor/internal/core/resources"
	"bitternmoor/internal/core/workers"
	"bitternmoor/internal/effects"
	"bitternmoor/internal/leader/cluster"
	"bitternmoor/internal/node"
	"bitternmoor/internal/wire"
)

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("production", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(raw, []byte("\n"))
}

// TestProductionLog checks that data stored by the version in production is read completely and that its
// log segment is encoded again byte for byte, so entries without new fields keep their form. The frozen
// types must encode it identically as well.
func TestProductionLog(t *testing.T) {
	raw := readGolden(t, "segment.json")
	list, err := eventlog.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]bool{}
	for _, e := range list {
		v := reflect.ValueOf(e)
		for i := range v.NumField() {
			if !v.Field(i).IsZero() {
				kinds[v.Type().Field(i).Name] = true
			}
		}
	}
	if want := reflect.TypeFor[prodEntry]().NumField(); len(kinds) != want {
		t.Errorf("%d kinds of entries in the file, the version in production has %d", len(kinds), want)
	}
	again, err := json.Marshal(map[string]any{"e": list})
	if err != nil || !bytes.Equal(again, raw) {
		t.Errorf("encoded again as\n%s, was\n%s", again, raw)
	}
	if got := reencodeAsProduction(raw); !bytes.Equal(got, raw) {
		t.Errorf("the frozen types write\n%s, the version in production wrote\n%s", got, raw)
	}
	var sizes eventlog.VirtualSizes
	if err := json.Unmarshal(readGolden(t, "sizes.json"), &sizes); err != nil || !reflect.DeepEqual(sizes.Sizes, []eventlog.VirtualSize{{ID: 413, Size: 31.5, Virtual: 12.3}}) {
		t.Errorf("sizes are read as %+v, %v", sizes, err)
	}
	var h leadership.LeaseHolder
	if err := json.Unmarshal(readGolden(t, "leader.json"), &h); err != nil || h != (leadership.LeaseHolder{Node: "drover-1", Epoch: 7}) {
		t.Errorf("the leader is read as %+v, %v", h, err)
	}
}

// TestProductionReadsNewLog checks that the version in production drops the fields and entries that it
// does not know and reads everything else unchanged.
func TestProductionReadsNewLog(t *testing.T) {
	job := eventlog.Job{ID: 9, Class: "c", Team: "t", Tasks: 3, CPUs: 1, MemoryGB: 2, Image: "i", EstimateS: 5, AtMS: 7}
	next := job
	next.Follows, next.Rest, next.ReleasedMS = []uint64{1, 2}, 3, 99
	with := []eventlog.Entry{{Job: &next}, {Dependencies: &eventlog.Dependencies{ID: 9, AcceptedMS: 7, Jobs: []uint64{5}}},
		{CompletedTasks: &eventlog.CompletedTasks{ID: 9, Ranges: [][2]int{{0, 3}}, Seconds: 6, Known: 3, AtMS: 88}},
		{MachineTypes: []eventlog.MachineType{{Name: "m", CPUs: 4, MemoryGB: 8, Zones: []string{"b"}, FurtherZones: true}}}}
	without := []eventlog.Entry{{Job: &job}, {},
		{CompletedTasks: &eventlog.CompletedTasks{ID: 9, Ranges: [][2]int{{0, 3}}, Seconds: 6, Known: 3}},
		{MachineTypes: []eventlog.MachineType{{Name: "m", CPUs: 4, MemoryGB: 8, Zones: []string{"b"}}}}}
	raw, err := json.Marshal(map[string]any{"e": with})
	if err != nil {
		t.Fatal(err)
	}
	want, err := json.Marshal(map[string]any{"e": without})
	if err != nil {
		t.Fatal(err)
	}
	if got := reencodeAsProduction(raw); !bytes.Equal(got, want) {
		t.Errorf("the version in production reads\n%s, want\n%s", got, want)
	}
}

// TestProductionMessages checks, field by field, that the current version decodes messages of the version
// in production and that the latter decodes the current ones.
func TestProductionMessages(t *testing.T) {
	job := &eventlog.Job{ID: 412, Class: "train", Team: "vision", Kind: 1, Priority: 2, Tasks: 16, CPUs: 8, GPUs: 1, MemoryGB: 64.5,
		Image: "img-07", ImageGB: 6.2, Types: []string{"g8"}, Zone: "a", OneZone: true, Spot: true,
		EstimateS: 240, Checkpoint: 30, SaveS: 4, DeadlineS: 900, AtMS: 1764590000123}
	report := workers.Report{Machine: "host-000231", Address: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 2, Seq: 88, Token: 7<<20 + 5,
		Notice: true, NoticeS: 7.5, Tasks: []workers.TaskReport{{Job: 413, Task: 1, Attempt: 9, State: workers.Ended, Reason: workers.Stopped, Saved: true}}}
	start := workers.Command{Op: workers.Start, Job: 413, Task: 2, Attempt: 10}
	for _, message := range []struct {
		file string
		now  any // the content of the file in the current types
		then any // pointer to the frozen type
	}{
		{"relay.gob", effects.RelayedHeartbeat{Via: "drover-1", Life: 1764590000000, Report: report}, &prodRelayed{}},
		{"relay_answer.gob", effects.HeartbeatAnswer{Status: 200, Token: 7<<20 + 5, Commands: []workers.Command{{Op: workers.Stop, Job: 412, Task: 1, Attempt: 4, GraceS: 9}},
			Node: "drover-2", Offers: []workers.Offer{{Start: start, Serial: 77, Need: resources.Amounts{CPU: 500, Mem: 1000}, Here: true}},
			Room: resources.Amounts{CPU: 96000, GPU: 8000, Mem: 768000}, LeaseS: 20}, &prodReportAnswer{}},
		{"ask.gob", node.UserRequest{Op: "submit", ID: 412, Submission: wire.Submission{ID: 412, HasID: true, Job: job, Bad: "x"}}, &prodRequest{}},
		{"ask_answer.gob", effects.Answer{Status: 200, ID: 412, State: wire.Cancelled, Counts: true, Done: 3, Running: 2, Why: "w", RetryAfter: 4}, &prodAnswer{}},
		{"hail.gob", node.HeartbeatMessage{Node: "drover-1", Epoch: 7}, &prodHail{}},
		{"status.gob", node.Status{Node: "drover-0", Leader: "drover-1", Epoch: 7, Sure: true, Loaded: true, Unsaved: 2,
			Queue:  []node.JobStatus{{ID: "j-000413", Class: "c", Team: "vision", Virtual: 12.3, Size: 31.5, Final: true, Waiting: 1}},
			Counts: cluster.Counts{Terms: 1, TasksDone: 9}}, &prodStatus{}},
		{"explain.gob", node.Explanation{ID: "j-000413", Place: 2, Words: []string{"it is number 2 in the order"}}, &prodExplanation{}},
	} {
		raw := readGolden(t, message.file)
		got := reflect.New(reflect.TypeOf(message.now))
		if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(got.Interface()); err != nil {
			t.Errorf("%s: %v", message.file, err)
			continue
		}
		if !reflect.DeepEqual(got.Elem().Interface(), message.now) {
			t.Errorf("%s is read as %+v, want %+v", message.file, got.Elem(), message.now)
		}
		sent := reflect.New(reflect.TypeOf(message.then).Elem())
		transcodeGob(message.now, sent.Interface())
		if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(message.then); err != nil {
			t.Errorf("%s: %v", message.file, err)
			continue
		}
		if !reflect.DeepEqual(sent.Interface(), message.then) {
			t.Errorf("%s: the version in production decodes %+v from the current version and %+v from its own", message.file, sent.Elem(), reflect.ValueOf(message.then).Elem())
		}
	}
}

// TestProductionCalls checks that the RPC methods, paths and keys that the version in production uses are
// unchanged.
func TestProductionCalls(t *testing.T) {
	c := reflect.TypeFor[*node.Controller]()
	for _, name := range []string{"Ask", "Hail", "Relay", "Status", "Explain"} {
		if _, ok := c.MethodByName(name); !ok {
			t.Errorf("Controller.%s is no longer served", name)
		}
	}
	if node.PathPeers != "/peers" || leadership.HolderKey != "lead/holder" || leadership.EpochKey != "lead/epoch" ||
		eventlog.SegmentKey(7) != "log/00000007" || eventlog.SizesPrefix != "sizes/" {
		t.Error("a path or key that the versions share has changed")
	}
}
