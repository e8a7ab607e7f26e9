package slo

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/leader/cluster"
)

// View is what operators see of a class or a team.
type View struct {
	Name         string  `json:"name"`
	Team         bool    `json:"team"`
	Due          int     `json:"due"`    // jobs due in the window
	Met          int     `json:"met"`    // of them, done by then
	Share        float64 `json:"share"`  // 1 where none was due
	Open         int     `json:"open"`   // jobs not due yet
	Boosted      int     `json:"kept"`   // of them, those that go ahead of everything
	Missed       uint64  `json:"missed"` // since the leader began
	BoostedTotal uint64  `json:"kept_ever"`
	// Of those due, the largest: the tenth with most work, and the widest.
	Largest     int     `json:"largest"`
	LargestMet  int     `json:"largest_met"`
	LargestWait float64 `json:"largest_began_after_s"` // the longest of them
}

// Show returns classes and teams, as a JSON list of View.
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

// views are the classes, then the teams, by name.
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

// largest are the largest of the outcomes in the window: the tenth with most work, and the
// widest.
func (s *groupStats) largest() []outcome {
	if len(s.outcomes) == 0 {
		return nil
	}
	list := slices.Clone(s.outcomes)
	slices.SortStableFunc(list, func(a, b outcome) int { return cmp.Compare(b.work, a.work) })
	n := (len(list) + largestShare - 1) / largestShare
	widest := slices.MaxFunc(list, func(a, b outcome) int { return cmp.Compare(a.tasks, b.tasks) })
	if slices.ContainsFunc(list[:n], func(o outcome) bool { return o.tasks == widest.tasks }) {
		return list[:n]
	}
	return append(list[:n:n], widest)
}

// maxLabels bounds the labels of metrics; the rest is left out.
const maxLabels = 100

// Gauges returns the share of each class and team, and what became of each class's largest
// jobs.
func (d *Component) Gauges(time.Duration) []cluster.Gauge {
	newGauge := func(name, help, label string) cluster.Gauge {
		return cluster.Gauge{Name: name, Help: help, Label: label, Values: map[string]float64{}}
	}
	const shareHelp = "Share of the jobs due in the window that were done by then."
	ofClass := newGauge("bitternmoor_served_share_of_class", shareHelp, "class")
	ofTeam := newGauge("bitternmoor_served_share_of_team", shareHelp, "team")
	ofLargest := newGauge("bitternmoor_served_share_of_largest", "The same of the class's largest jobs.", "class")
	largestBegan := newGauge("bitternmoor_largest_began_seconds",
		"Longest time that one of a class's largest jobs waited to begin.", "class")
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
