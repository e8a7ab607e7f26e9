package reconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/core/eventlog"
	"bitternmoor/internal/core/jobs"
	"bitternmoor/internal/settings"
)

// Request is a change that an operator asks for. It carries an id: a repeat answers the same.
type Request struct {
	ID       string          `json:"id"`
	Revision uint64          `json:"revision"` // that the operator saw; another one since is refused
	Note     string          `json:"note,omitempty"`
	Changes  []config.Change `json:"changes"`
	DryRun   bool            `json:"dry_run,omitempty"` // it is checked, and nothing is changed
}

// Answer is what became of a change. Until it is durable the same one is to be asked for again.
type Answer struct {
	Durable  bool     `json:"durable"`
	Revision uint64   `json:"revision"`
	Remarks  []string `json:"remarks,omitempty"` // what it means for what is there
}

// queuedMost bounds the entries that wait to be written when a change is taken.
const maxQueuedEntries = 2000

// pendingMost bounds the changes that wait to be durable.
const maxPending = 64

// ChangeBy does what an operator asks.
func (d *Component) ChangeBy(now time.Duration, by string, body json.RawMessage) (json.RawMessage, error) {
	var in Request
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	a, err := d.change(now, by, &in)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return raw, nil
}

// newestRevision is the last revision that was given out, durable or not.
func (d *Component) newestRevision() uint64 {
	if n := len(d.pending); n > 0 {
		return d.pending[n-1].Number
	}
	return d.document.Revision()
}

func (d *Component) change(now time.Duration, by string, in *Request) (*Answer, error) {
	if err := config.CheckWords(in.ID, in.Note); err != nil {
		return nil, err
	}
	if a := d.repeatedAnswer(in.ID); a != nil {
		return a, nil
	}
	if d.missingRevision > 0 {
		return nil, &settings.FieldError{Field: "revision", Why: fmt.Sprintf("%d was in force and is not in the log any more: see docs/configuration.md", d.missingRevision)}
	}
	if in.Revision != d.newestRevision() {
		return nil, &settings.FieldError{Field: "revision", Why: fmt.Sprintf("this was planned for revision %d, and another change has made it %d", in.Revision, d.newestRevision())}
	}
	if err := config.Check(in.Changes, &d.Cfg.Platform); err != nil {
		return nil, err
	}
	if len(d.pending) >= maxPending || d.EventLog.Pending() > maxQueuedEntries {
		return nil, &settings.FieldError{Field: "changes", Why: "too many wait to be written: try again"}
	}
	r := config.Revision{Number: in.Revision + 1, ID: in.ID, By: by, AtMS: d.ClockZeroMS + now.Milliseconds(), Note: in.Note, Changes: slices.Clone(in.Changes)}
	added := 0
	for i := range r.Changes {
		before, err := d.prepare(&r.Changes[i])
		if err != nil {
			return nil, err
		}
		r.Before = append(r.Before, before.Value)
		if before.Revision == 0 {
			added++
		}
	}
	if d.document.Len()+added > config.MostItems {
		return nil, &settings.FieldError{Field: "changes", Why: fmt.Sprintf("more than %d things would have been changed", config.MostItems)}
	}
	e := eventlog.NewComponentEntry(Name, storedEntry{Revision: &r})
	if !d.EventLog.Fits(e) {
		return nil, &settings.FieldError{Field: "changes", Why: fmt.Sprintf("%d bytes are too many to be stored at once", len(e.Component.Data))}
	}
	a := &Answer{Revision: r.Number, Remarks: d.remarksOn(r.Changes)}
	if in.DryRun {
		return a, nil
	}
	d.EventLog.AppendTracked(e)
	d.pending = append(d.pending, r)
	for _, c := range r.Changes {
		if c.Item.Team != "" {
			d.applyTeam(c.Item.Team) // a lower limit counts from now on
		}
	}
	return a, nil
}

// repeatedAnswer answers a change that was made already; nil: it was not.
func (d *Component) repeatedAnswer(id string) *Answer {
	same := func(r config.Revision) bool { return r.ID == id }
	if i := slices.IndexFunc(d.pending, same); i >= 0 {
		return &Answer{Revision: d.pending[i].Number}
	}
	if i := slices.IndexFunc(d.history, same); i >= 0 {
		return &Answer{Durable: true, Revision: d.history[i].Number}
	}
	return nil
}

// currentSet is what an item is set to, with what is on its way.
func (d *Component) currentSet(i config.Item) config.Set {
	s := d.document.Get(i)
	for _, r := range d.pending {
		for _, c := range r.Changes {
			if c.Item == i {
				s = config.Set{Change: c, Revision: r.Number}
			}
		}
	}
	return s
}

// prepare completes a change by what stood before, which it gives.
func (d *Component) prepare(c *config.Change) (config.Set, error) {
	before := d.currentSet(c.Item)
	if c.Item.Team == "" {
		return before, nil
	}
	t, known := d.teamWith(c.Item.Team, before.Value)
	if _, inSettings := d.settingsTeams[c.Item.Team]; c.Value.AsSettings() && !inSettings {
		c.Value.Removed = true // the settings say that there is no such team
	}
	if !c.Value.Removed {
		return before, nil
	}
	if !known {
		return before, &settings.FieldError{Field: c.Item.String(), Why: "there is no such team"}
	}
	l := config.LimitsOf(t) // its open jobs go on under the limit that it had
	c.Value.Limits = &l
	return before, nil
}

// remarksOn says what changes mean for jobs that are there.
func (d *Component) remarksOn(changes []config.Change) (out []string) {
	for _, c := range changes {
		if c.Item.Team == "" {
			if e := settings.EffectOfChange(c.Item.Tunable); e != settings.AtOnce {
				out = append(out, fmt.Sprintf("%s counts %s", c.Item, e))
			}
			continue
		}
		if r := d.remarkOnTeam(c); r != "" {
			out = append(out, r)
		}
	}
	return out
}

func (d *Component) remarkOnTeam(c config.Change) string {
	index, ok := d.Teams.Lookup(c.Item.Team)
	if !ok {
		return ""
	}
	t, known := d.teamWith(c.Item.Team, c.Value)
	open, never := 0, 0
	for _, j := range d.Jobs.All() {
		if j == nil || j.Team != index || j.Phase == jobs.Done || j.Phase == jobs.Cancelled {
			continue
		}
		open++
		all := j.Need
		if j.Record.Kind != jobs.Array {
			all = all.Times(j.Record.Tasks)
		}
		if (t.CPUsMax > 0 && all.CPUs() > t.CPUsMax) || (t.GPUsMax > 0 && float64(all.GPU)/unitsPerGPU > t.GPUsMax) {
			never++
		}
	}
	use := d.Scheduler.Use(index)
	switch {
	case !known:
		return fmt.Sprintf("%s: %d open jobs go on, and no new one is taken", c.Item, open)
	case never > 0:
		return fmt.Sprintf("%s: %d of %d open jobs need more than its limit, and wait until it is raised", c.Item, never, open)
	case t.CPUsMax > 0 && use.CPUs() > t.CPUsMax:
		return fmt.Sprintf("%s: %.1f processors are in use; what runs goes on, and nothing starts above %.1f", c.Item, use.CPUs(), t.CPUsMax)
	}
	return ""
}

// milli is how many parts amounts count of one accelerator.
const unitsPerGPU = 1000
