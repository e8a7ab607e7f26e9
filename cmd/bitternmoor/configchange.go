package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/operators/console"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/settings"
)

// configChanger holds the flags of the commands that change the configuration.
type configChanger struct {
	controlClient
	note string
}

func (c *configChanger) addFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&c.note, "note", "", "why, for the history")
	return c.controlClient.addFlags(cmd)
}

// change shows what changes would do, asks, and has them made: for the revision that was seen, whole or not at
// all, and until that is durable. plan makes the changes from the leader's view.
func (c *configChanger) change(
	cmd *cobra.Command,
	plan func(ctx context.Context, client *control.Client, v *reconfig.View) ([]config.Change, error),
) error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	var v reconfig.View
	if err := fetchView(cmd.Context(), client, reconfig.Name, &v); err != nil {
		return err
	}
	changes, err := plan(cmd.Context(), client, &v)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return errors.New("nothing would change")
	}
	if err := config.Check(changes, unboundedPlatform()); err != nil {
		return err
	}
	request := reconfig.Request{ID: rand.Text(), Revision: v.Revision, Note: c.note, Changes: changes, DryRun: true}
	var answer reconfig.Answer
	if _, err := requestChange(cmd.Context(), client, request, &answer); err != nil {
		return err
	}
	if !c.json {
		printPlan(cmd.OutOrStdout(), &v, changes, &answer)
	}
	if err := confirm(cmd, c.yes, "change it?"); err != nil {
		return err
	}
	request.DryRun = false
	return c.commit(cmd, client, request)
}

// printPlan prints what changes would do, as the leader answers to a dry run.
func printPlan(out io.Writer, v *reconfig.View, changes []config.Change, answer *reconfig.Answer) {
	console.Printf(out, "revision %d would become %d:\n", v.Revision, answer.Revision)
	for _, change := range changes {
		console.Printf(out, "  %s: %s, now %s\n", change.Item, change.Value, currentValue(v, change.Item))
	}
	for _, remark := range answer.Remarks {
		console.Line(out, "  "+remark)
	}
}

// unboundedPlatform is a platform whose values hold names of any length: the leader decides how long one may be.
func unboundedPlatform() *settings.Platform {
	p := &settings.Platform{}
	p.Deployment.State.ValueKB = math.MaxInt32
	return p
}

// commit requests a change until it is durable.
func (c *configChanger) commit(cmd *cobra.Command, client *control.Client, request reconfig.Request) error {
	const unknown = "the change is asked for, and not known to be durable: a takeover may undo it; see config history"
	return retryUntilDurable(cmd.Context(), unknown, func(ctx context.Context) (bool, error) {
		var answer reconfig.Answer
		raw, err := requestChange(ctx, client, request, &answer)
		if err != nil || !answer.Durable {
			return false, err
		}
		if c.json {
			console.Printf(cmd.OutOrStdout(), "%s\n", raw)
		} else {
			console.Printf(cmd.OutOrStdout(), "done: revision %d\n", answer.Revision)
		}
		return true, nil
	})
}

// requestChange makes one request of the component that changes the configuration, and decodes its answer.
func requestChange(
	ctx context.Context, client *control.Client, request reconfig.Request, answer *reconfig.Answer,
) (json.RawMessage, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, failure{err}
	}
	raw, err := client.Change(ctx, reconfig.Name, body)
	if err != nil {
		return nil, failure{err}
	}
	return raw, decodeAnswer("controller", raw, answer)
}

// fetchView reads a component's view through the operators' listener.
func fetchView(ctx context.Context, client *control.Client, path string, view any) error {
	raw, err := client.Show(ctx, path)
	if errors.Is(err, control.ErrUnknown) {
		return failure{errors.New("the configuration cannot be changed while controllers run: config.history is 0")}
	}
	if err != nil {
		return failure{err}
	}
	return decodeAnswer("controller", raw, view)
}

// teamLimits are a team's limits in a view.
func teamLimits(v *reconfig.View, team string) config.Limits {
	i := slices.IndexFunc(v.Teams, func(t reconfig.Team) bool { return t.Name == team })
	if i < 0 {
		return config.Limits{}
	}
	return v.Teams[i].Limits
}

// currentValue says in words what an item is in a view.
func currentValue(v *reconfig.View, item config.Item) string {
	if item.Team != "" {
		i := slices.IndexFunc(v.Teams, func(t reconfig.Team) bool { return t.Name == item.Team })
		if i < 0 {
			return "not there"
		}
		limits := v.Teams[i].Limits
		return config.Value{Limits: &limits}.String()
	}
	i := slices.IndexFunc(v.Tunables, func(t reconfig.Tunable) bool { return t.Key == item.Tunable })
	if i < 0 {
		return "not there"
	}
	return fmt.Sprint(v.Tunables[i].Value)
}

func configSet() *cobra.Command {
	var c configChanger
	return c.addFlags(&cobra.Command{
		Use: "set CHANGE...",
		Short: "Change things together: team/NAME/FIELD=N, team/NAME=removed, SECTION.KEY=N, or =settings; " +
			"says what that does, and asks",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var edits []config.Edit
			for _, arg := range args {
				edit, err := config.ParseEdit(arg)
				if err != nil {
					return err
				}
				edits = append(edits, edit)
			}
			return c.changeByEdits(cmd, edits)
		},
	})
}

func configApply() *cobra.Command {
	var c configChanger
	return c.addFlags(&cobra.Command{
		Use:   "apply FILE",
		Short: "Change all that an INI file names, whole or not at all; says what that does, and asks",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edits, err := config.FileEdits(args[0])
			if err != nil {
				return err
			}
			return c.changeByEdits(cmd, edits)
		},
	})
}

// changeByEdits makes changes of edits. An edit that is wrong whatever the current values are is refused before the
// leader is asked.
func (c *configChanger) changeByEdits(cmd *cobra.Command, edits []config.Edit) error {
	if _, err := config.Changes(edits, func(string) config.Limits { return config.Limits{} }); err != nil {
		return err
	}
	return c.change(cmd, func(_ context.Context, _ *control.Client, v *reconfig.View) ([]config.Change, error) {
		return config.Changes(edits, func(team string) config.Limits { return teamLimits(v, team) })
	})
}

func configRollback() *cobra.Command {
	var c configChanger
	return c.addFlags(&cobra.Command{
		Use:   "rollback REVISION",
		Short: "Go back to what stood at a revision, by a new one; says what that does, and asks",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			revision, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil {
				return &settings.FieldError{Field: "REVISION", Why: fmt.Sprintf("not a whole number: %q", args[0])}
			}
			if c.note == "" {
				c.note = "back to revision " + args[0]
			}
			return c.change(cmd, func(ctx context.Context, client *control.Client, v *reconfig.View) ([]config.Change, error) {
				return planRollback(ctx, client, v, revision)
			})
		},
	})
}

// planRollback makes the changes that lead back to a revision.
func planRollback(
	ctx context.Context, client *control.Client, v *reconfig.View, revision uint64,
) ([]config.Change, error) {
	var history []config.Revision
	if err := fetchView(ctx, client, reconfig.Name+"/"+reconfig.ViewHistory, &history); err != nil {
		return nil, err
	}
	slices.Reverse(history) // the view has the newest first
	if n := len(history); n > 0 && history[n-1].Number != v.Revision {
		return nil, failure{errors.New("the configuration has just changed: look again")}
	}
	changes, err := config.Undo(history, revision)
	for i := range changes {
		if changes[i].Value.Removed {
			changes[i].Value.Limits = nil // the leader knows them
		}
	}
	return changes, err
}
