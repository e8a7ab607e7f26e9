package slo

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/leader/cluster"
)

// View is the state of a class or a team as shown to operators.
type View struct {
	Name         string  `json:"name"`
	Team         bool    `json:"team"`   // it is a team, not a class
	Due          int     `json:"due"`    // jobs due in the window
	Met          int     `json:"met"`    // of those, done in time
	Share        float64 `json:"share"`  // Met of Due; 1 if none was due
	Open         int     `json:"open"`   // open jobs that are not due yet
	Boosted      int     `json:"kept"`   // of those, the boosted ones
	Missed       uint64  `json:"missed"` // since the start of the term
	BoostedTotal uint64  `json:"kept_ever"`
	// The largest of the jobs due: the 10 % with the most work, and the one with the most tasks.
	Largest     int     `json:"largest"`
	LargestMet  int     `json:"largest_met"`
	LargestWait float64 `json:"largest_began_after_s"` // longest time in seconds that one of them waited to begin
}

// Show returns the state of all classes and teams, as a JSON list of View.
func (d *Component) Show(_ time.Duration, view string) (json.RawMessage, error) {
	if view != "" {
		return nil, cluster.ErrUnknownView
	}
	raw, err := json.Marshal(d.views())
	if err != nil {
		return nil, fmt.Errorf("served: %w", err)
	}
	return raw, nil
}

// views returns the views of the classes, then of the teams, each sorted by name.
func (d *Component) views() []View {
	out := []View{}
	for _, s := range d.groups {
		out = append(out, s.view())
	}
	slices.SortFunc(out, func(a, b View) int {
		switch {
		case a.Team == b.Team:
			return cmp.Compare(a.Name, b.Name)
		case a.Team:
			return 1
		default:
			return -1
		}
	})
	return out
}

func (s *groupStats) view() View {
	v := View{
		Name:         s.name,
		Team:         s.team,
		Due:          len(s.outcomes),
		Met:          s.metCount(),
		Share:        1,
		Open:         s.openJobs,
		Boosted:      s.boosted,
		Missed:       s.missed,
		BoostedTotal: s.boostedTotal,
	}
	if v.Due > 0 {
		v.Share = float64(v.Met) / float64(v.Due)
	}
	for _, o := range s.largest() {
		v.Largest++
		if o.met {
			v.LargestMet++
		}
		v.LargestWait = max(v.LargestWait, o.waited.Seconds())
	}
	return v
}

// largest returns the largest outcomes in the window: the 10 % with the most work, rounded up, and
// the one with the most tasks.
func (s *groupStats) largest() []outcome {
	if len(s.outcomes) == 0 {
		return nil
	}
	list := slices.Clone(s.outcomes)
	slices.SortStableFunc(list, func(a, b outcome) int { return cmp.Compare(b.work, a.work) })
	n := (len(list) + largestDivisor - 1) / largestDivisor
	widest := slices.MaxFunc(list, func(a, b outcome) int { return cmp.Compare(a.tasks, b.tasks) })
	if slices.ContainsFunc(list[:n], func(o outcome) bool { return o.tasks == widest.tasks }) {
		return list[:n]
	}
	return append(list[:n:n], widest)
}

// maxLabels is the largest number of label values of a metric; further ones are left out.
const maxLabels = 100

// Gauges returns the share of jobs done in time per class and team, and the share and longest wait
// of each class's largest jobs.
func (d *Component) Gauges(time.Duration) []cluster.Gauge {
	newGauge := func(name, help, label string) cluster.Gauge {
		return cluster.Gauge{Name: name, Help: help, Label: label, Values: map[string]float64{}}
	}
	const shareHelp = "Share of the jobs due in the window that were done by then."
	ofClass := newGauge("bitternmoor_served_share_of_class", shareHelp, "class")
	ofTeam := newGauge("bitternmoor_served_share_of_team", shareHelp, "team")
	ofLargest := newGauge("bitternmoor_served_share_of_largest", "Share of a class's largest jobs due in the window that were done in time.", "class")
	largestBegan := newGauge("bitternmoor_largest_began_seconds",
		"Longest time that one of the largest jobs of a class waited to begin.", "class")
	for _, v := range d.views() {
		share := ofClass
		if v.Team {
			share = ofTeam
		}
		if len(share.Values) >= maxLabels {
			continue
		}
		share.Values[v.Name] = v.Share
		if !v.Team && v.Largest > 0 {
			ofLargest.Values[v.Name] = float64(v.LargestMet) / float64(v.Largest)
			largestBegan.Values[v.Name] = v.LargestWait
		}
	}
	return []cluster.Gauge{ofClass, ofTeam, ofLargest, largestBegan}
}
