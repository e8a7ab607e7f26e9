package runtimes

import (
	"bufio"
	"cmp"
	"encoding/json"
	"math"
	"os"
	"slices"
	"testing"
	"time"
)

// TestCompareGroupingKeys compares keys for grouping job history on runs recorded from the scenario
// engine: how often a key gives an estimate from earlier runs, and how accurate it is.
// docs/run-times.md has the results. The implementation uses the finest kind with enough
// history. It must give an estimate for every run and be at least as good as any single key.
func TestCompareGroupingKeys(t *testing.T) {
	f, err := os.Open("testdata/recorded_facts.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}()
	var records []*RunRecord
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var e entry
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil || e.Record == nil {
			t.Fatal(err)
		}
		records = append(records, e.Record.runRecord())
	}
	slices.SortFunc(records, func(a, b *RunRecord) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID)) })
	if len(records) < 300 {
		t.Fatalf("only %d run records in the test data", len(records))
	}
	hour := func(r *RunRecord) string { return time.Unix(r.At, 0).UTC().Format("Mon 15:04")[:6] }
	keys := []struct {
		name string
		of   func(r *RunRecord) Kind
	}{
		{"class", func(r *RunRecord) Kind { return Kind{Class: r.Kind.Class} }},
		{"image", func(r *RunRecord) Kind { return Kind{Image: r.Kind.Image} }},
		{"class+team", func(r *RunRecord) Kind { return Kind{Class: r.Kind.Class, Team: r.Kind.Team} }},
		{"class+image", func(r *RunRecord) Kind { return Kind{Class: r.Kind.Class, Image: r.Kind.Image} }},
		{"class+image+shape", func(r *RunRecord) Kind { return Kind{Class: r.Kind.Class, Image: r.Kind.Image, Shape: r.Kind.Shape} }},
		{"class+image+hour of the week", func(r *RunRecord) Kind { return Kind{Class: r.Kind.Class, Image: r.Kind.Image, Shape: hour(r)} }},
		{"all four", func(r *RunRecord) Kind { return r.Kind }},
	}
	share := func(name string, estimate func(r *RunRecord) float64) (accurate, known float64) {
		ten, twenty, fifty, n := 0.0, 0.0, 0.0, 0.0
		for _, r := range records {
			estimated := estimate(r)
			if estimated <= 0 {
				continue
			}
			n++
			switch off := math.Abs(estimated/r.TaskQuantiles[2] - 1); {
			case off <= .1:
				ten++
				fallthrough
			case off <= .2:
				twenty++
				fallthrough
			case off <= .5:
				fifty++
			}
		}
		t.Logf("%-30s estimates %.2f of %d runs; of these, within 10 %%: %.2f, 20 %%: %.2f, 50 %%: %.2f", name, n/float64(len(records)), len(records), ten/n, twenty/n, fifty/n)
		return twenty / n, n / float64(len(records))
	}
	best := 0.0
	for _, k := range keys {
		histories := map[Kind]*history{}
		accurate, known := share(k.name, func(r *RunRecord) float64 {
			h := histories[k.of(r)]
			if h == nil {
				h = &history{}
				histories[k.of(r)] = h
			}
			estimated := 0.0
			if h.hasEnoughData() {
				estimated = h.summarize().estimate.P50
			}
			h.addRecord(r)
			return estimated
		})
		best = max(best, accurate*known)
	}
	model := NewModel(1000)
	accurate, known := share("the hierarchy", func(r *RunRecord) float64 {
		estimated := model.Estimate(r.Kind, r.Estimate, r.At).P50
		model.AddRun(r)
		return estimated
	})
	share("the owner's estimate", func(r *RunRecord) float64 { return r.Estimate })
	if known < 1 || accurate < best {
		t.Errorf("the hierarchy is within 20 %% for %.2f of %.2f, the best single key for %.2f of all", accurate, known, best)
	}
}
