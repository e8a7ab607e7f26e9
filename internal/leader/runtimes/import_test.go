package runtimes

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"
)

// Kinds exported by one installation give the same estimates when imported by another, also after
// a change of leader there. Known kinds stay unchanged unless Replace is set.
func TestExportAndImport(t *testing.T) {
	source := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
	d := source.startTerm(t, 100)
	for id := range uint64(12) {
		source.runJob(d, id+1, "c", 18)
	}
	raw, err := d.Show(source.now, "")
	if err != nil {
		t.Fatal(err)
	}
	var in ImportRequest
	if err := json.Unmarshal(raw, &in.Kinds); err != nil || len(in.Kinds) != 5 {
		t.Fatalf("%d kinds were exported, error %v", len(in.Kinds), err)
	}
	target := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
	n := target.startTerm(t, 100)
	change := func(in ImportRequest) (out ImportResult) {
		t.Helper()
		body, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		answer, err := n.Change(target.now, body)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(answer, &out); err != nil {
			t.Fatal(err)
		}
		return out
	}
	if got := change(in); got != (ImportResult{Added: 5}) {
		t.Errorf("first import: %+v", got)
	}
	if got := change(in); got != (ImportResult{Left: 5}) {
		t.Errorf("second import: %+v", got)
	}
	in.Replace = true
	if got := change(in); got != (ImportResult{Replaced: 5}) {
		t.Errorf("import with Replace: %+v", got)
	}
	for range 60 {
		target.now += n.writeInterval
		n.Tick(target.now, true)
		target.commit(n, 1)
	}
	for _, x := range []*Component{n, target.startTerm(t, 100)} {
		a, b := d.model.Estimate(in.Kinds[0].Kind, 5, 0), x.model.Estimate(in.Kinds[0].Kind, 5, 0)
		if math.Abs(a.P50/b.P50-1) > .005 || math.Abs(a.P90/b.P90-1) > .005 || a.Jobs != b.Jobs { // 3 digits are exported
			t.Errorf("estimate of the exporter: %+v, of the importer: %+v", a, b)
		}
	}
	small := target.startTerm(t, 2)
	small.model = NewModel(2)
	body, _ := json.Marshal(in)
	if answer, err := small.Change(0, body); err != nil || !strings.Contains(string(answer), `"added":2`) || !strings.Contains(string(answer), `"dropped":3`) {
		t.Errorf("import into a full model: %s, error %v", answer, err)
	}
}

// An import with one invalid kind is rejected as a whole.
func TestInvalidImportChangesNothing(t *testing.T) {
	good := `{"class":"c","nights":[[1,2,30,5,9,1,20,30,0.5,1,2]]}`
	for bad, field := range map[string]string{
		`{"nights":[[1,2,30,5,9,1,20,30,0.5,1,2]]}`:                                          "class",
		`{"class":"c","nights":[]}`:                                                          "nights",
		`{"class":"c","nights":[[1,2,30,5,9,1,20,30,0.5,1,2],[1,2,30,5,9,1,20,30,0.5,1,2]]}`: "nights[1]",
		`{"class":"c","nights":[[1,2,30,-5,9,1,20,30,0.5,1,2]]}`:                             "nights[0]",
		`{"class":"c","nights":[[1,2,0,5,9,1,20,30,0.5,1,2]]}`:                               "nights[0]",
		`{"class":"c","nights":[[1,2,30,5,4,1,20,30,0.5,1,2]]}`:                              "nights[0]",
		`{"class":"c","nights":[[1,2,30,5,1e12,1,20,30,0.5,1,2]]}`:                           "nights[0]",
		`{"class":7}`: "class",
	} {
		w := &fixture{values: map[string]json.RawMessage{}, bytes: 8192}
		d := w.startTerm(t, 100)
		_, err := d.Change(time.Second, json.RawMessage(`{"kinds":[`+good+`,`+bad+`]}`))
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") || d.model.Len() != 0 {
			t.Errorf("import of %s: error %v, %d kinds in the model", bad, err, d.model.Len())
		}
	}
}
