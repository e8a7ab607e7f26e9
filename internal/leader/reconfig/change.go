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

// Request is a change that an operator requests. It is idempotent by its ID: a repeated request
// gets the answer for the revision that was already made.
type Request struct {
	ID       string          `json:"id"`
	Revision uint64          `json:"revision"` // newest that the operator saw; refused if it is not the newest
	Note     string          `json:"note,omitempty"`
	Changes  []config.Change `json:"changes"`
	DryRun   bool            `json:"dry_run,omitempty"` // the request is only checked, nothing is changed
}

// Answer is the result of a Request. Until Durable is true, the client repeats the same request.
type Answer struct {
	Durable  bool     `json:"durable"`
	Revision uint64   `json:"revision"`
	Remarks  []string `json:"remarks,omitempty"` // consequences of the change for existing jobs and settings
}

const (
	maxQueuedEntries = 2000 // entries in the write queue above which changes are refused
	maxPending       = 64   // largest number of changes that are not durable yet
)

// ChangeBy applies a Request, made by the operator of the given name, and returns an Answer, both
// as JSON. An invalid field of the request is reported as a *settings.FieldError.
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

// newestRevision returns the number of the newest revision, durable or not.
func (d *Component) newestRevision() uint64 {
	if n := len(d.pending); n > 0 {
		return d.pending[n-1].Number
	}
	return d.document.Revision()
}

// change checks the whole request, then queues its revision as one log entry.
func (d *Component) change(now time.Duration, by string, in *Request) (*Answer, error) {
	if err := config.CheckIDAndNote(in.ID, in.Note); err != nil {
		return nil, err
	}
	if a := d.repeatedAnswer(in.ID); a != nil {
		return a, nil
	}
	if err := d.checkRequest(in); err != nil {
		return nil, err
	}
	r, err := d.prepareRevision(now, by, in)
	if err != nil {
		return nil, err
	}
	e := eventlog.NewComponentEntry(Name, storedEntry{Revision: r})
	if !d.EventLog.Fits(e) {
		return nil, fieldError("changes", "%d bytes are too many to be stored at once", len(e.Component.Data))
	}
	a := &Answer{Revision: r.Number, Remarks: d.remarksOn(r.Changes)}
	if in.DryRun {
		return a, nil
	}
	d.EventLog.AppendTracked(e)
	d.pending = append(d.pending, *r)
	for _, c := range r.Changes {
		if c.Item.Team != "" {
			d.applyTeam(c.Item.Team) // a lower limit takes effect immediately
		}
	}
	return a, nil
}

func fieldError(field, format string, args ...any) error {
	return &settings.FieldError{Field: field, Why: fmt.Sprintf(format, args...)}
}

// checkRequest validates a request's revision and each of its changes on its own.
func (d *Component) checkRequest(in *Request) error {
	if d.missingRevision > 0 {
		return fieldError("revision", "%d was in force and is not in the log any more: see docs/configuration.md",
			d.missingRevision)
	}
	if newest := d.newestRevision(); in.Revision != newest {
		return fieldError("revision", "this was planned for revision %d, and another change has made it %d",
			in.Revision, newest)
	}
	if err := config.Check(in.Changes, &d.Cfg.Platform); err != nil {
		return err
	}
	if len(d.pending) >= maxPending || d.EventLog.PendingCount() > maxQueuedEntries {
		return fieldError("changes", "too many wait to be written: try again")
	}
	return nil
}

// prepareRevision builds the revision for a request, with the values before its changes.
func (d *Component) prepareRevision(now time.Duration, by string, in *Request) (*config.Revision, error) {
	r := &config.Revision{
		Number:  in.Revision + 1,
		ID:      in.ID,
		By:      by,
		AtMS:    d.ClockOriginUnixMS + now.Milliseconds(),
		Note:    in.Note,
		Changes: slices.Clone(in.Changes),
	}
	added := 0
	for i := range r.Changes {
		before, err := d.completeChange(&r.Changes[i])
		if err != nil {
			return nil, err
		}
		r.Before = append(r.Before, before.Value)
		if before.Revision == 0 {
			added++
		}
	}
	if d.document.Len()+added > config.MaxItems {
		return nil, fieldError("changes", "more than %d things would have been changed", config.MaxItems)
	}
	return r, nil
}

// repeatedAnswer returns the answer for a change that was already made; nil: it was not made.
func (d *Component) repeatedAnswer(id string) *Answer {
	hasID := func(r config.Revision) bool { return r.ID == id }
	if i := slices.IndexFunc(d.pending, hasID); i >= 0 {
		return &Answer{Revision: d.pending[i].Number}
	}
	if i := slices.IndexFunc(d.history, hasID); i >= 0 {
		return &Answer{Durable: true, Revision: d.history[i].Number}
	}
	return nil
}

// currentSet returns the current setting of an item, including revisions that are not durable yet.
func (d *Component) currentSet(i config.Item) config.ItemValue {
	s := d.document.Get(i)
	for _, r := range d.pending {
		for _, c := range r.Changes {
			if c.Item == i {
				s = config.ItemValue{Change: c, Revision: r.Number}
			}
		}
	}
	return s
}

// completeChange returns an item's setting before a change, and completes a change of a team: a
// revert to the settings removes a team that they do not define, and a removed team keeps its
// limits for its open jobs.
func (d *Component) completeChange(c *config.Change) (config.ItemValue, error) {
	before := d.currentSet(c.Item)
	if c.Item.Team == "" {
		return before, nil
	}
	t, known := d.resolveTeam(c.Item.Team, before.Value)
	if _, inSettings := d.settingsTeams[c.Item.Team]; c.Value.IsUnset() && !inSettings {
		c.Value.Removed = true // the settings do not define this team
	}
	if !c.Value.Removed {
		return before, nil
	}
	if !known {
		return before, fieldError(c.Item.String(), "there is no such team")
	}
	l := config.LimitsFromSettings(t) // its open jobs continue under the previous limit
	c.Value.Limits = &l
	return before, nil
}

// remarksOn describes the consequences of changes for open jobs, and when tunables take effect.
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

// remarkOnTeam describes the consequence of a team's change for its open jobs; empty: there is none.
func (d *Component) remarkOnTeam(c config.Change) string {
	index, ok := d.Teams.Lookup(c.Item.Team)
	if !ok {
		return ""
	}
	t, known := d.resolveTeam(c.Item.Team, c.Value)
	open, tooLarge := d.countOpenJobs(index, t)
	use := d.Scheduler.TeamUse(index)
	switch {
	case !known:
		return fmt.Sprintf("%s: %d open jobs go on, and no new one is taken", c.Item, open)
	case tooLarge > 0:
		return fmt.Sprintf("%s: %d of %d open jobs need more than its limit, and wait until it is raised", c.Item, tooLarge, open)
	case t.CPUsMax > 0 && use.CPUs() > t.CPUsMax:
		return fmt.Sprintf("%s: %.1f processors are in use; what runs goes on, and nothing starts above %.1f",
			c.Item, use.CPUs(), t.CPUsMax)
	}
	return ""
}

// partsPerUnit is the number of parts of one CPU or GPU in a resource amount.
const partsPerUnit = 1000

// countOpenJobs counts a team's open jobs, and those of them that need more than the team's limit
// for a single start: of one task of an array, of all tasks of another job.
func (d *Component) countOpenJobs(team int32, limits settings.Team) (open, tooLarge int) {
	for _, j := range d.Jobs.All() {
		if j == nil || j.Team != team || j.Phase == jobs.Done || j.Phase == jobs.Cancelled {
			continue
		}
		open++
		need := j.Need
		if j.Record.Kind != jobs.Array {
			need = need.Times(j.Record.Tasks)
		}
		overCPUs := limits.CPUsMax > 0 && need.CPUs() > limits.CPUsMax
		overGPUs := limits.GPUsMax > 0 && float64(need.GPU)/partsPerUnit > limits.GPUsMax
		if overCPUs || overGPUs {
			tooLarge++
		}
	}
	return open, tooLarge
}
