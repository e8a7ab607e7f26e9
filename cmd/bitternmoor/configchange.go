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
	cmd.Flags().StringVar(&c.note, "note", "", "reason for the change, kept in the history")
	return c.controlClient.addFlags(cmd)
}

// change prints the effect of changes, asks for confirmation and requests them until they are durable. The
// leader applies all of them or none, and only to the revision that was shown. plan derives the changes
// from the leader's view.
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

// printPlan prints the effect of changes, as the leader reports it for a dry run.
func printPlan(out io.Writer, v *reconfig.View, changes []config.Change, answer *reconfig.Answer) {
	console.Printf(out, "revision %d would become %d:\n", v.Revision, answer.Revision)
	for _, change := range changes {
		console.Printf(out, "  %s: %s, now %s\n", change.Item, change.Value, currentValue(v, change.Item))
	}
	for _, remark := range answer.Remarks {
		console.Line(out, "  "+remark)
	}
}

// unboundedPlatform returns a platform whose stored values hold names of any length, because the leader is
// the one that limits the length of a name.
func unboundedPlatform() *settings.Platform {
	p := &settings.Platform{}
	p.Deployment.State.ValueKB = math.MaxInt32
	return p
}

// commit repeats a change request until the change is durable.
func (c *configChanger) commit(cmd *cobra.Command, client *control.Client, request reconfig.Request) error {
	const timeoutMessage = "the change was requested and is not known to be durable: a takeover may undo it; see config history"
	return retryUntilDurable(cmd.Context(), timeoutMessage, func(ctx context.Context) (bool, error) {
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

// requestChange sends one request to the component that changes the configuration, and decodes the answer.
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

// fetchView reads a view of the configuration through the operators' listener.
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

// teamLimits returns a team's limits in a view, or the zero value if the view does not have the team.
func teamLimits(v *reconfig.View, team string) config.Limits {
	i := slices.IndexFunc(v.Teams, func(t reconfig.Team) bool { return t.Name == team })
	if i < 0 {
		return config.Limits{}
	}
	return v.Teams[i].Limits
}

// currentValue formats the value that an item has in a view.
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
		Short: "Make all changes or none: team/NAME/FIELD=N, team/NAME=removed, SECTION.KEY=N, or =settings; " +
			"shows the effect and asks for confirmation",
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
		Short: "Make all changes in an INI file or none; shows the effect and asks for confirmation",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edits, err := config.ReadEditsFile(args[0])
			if err != nil {
				return err
			}
			return c.changeByEdits(cmd, edits)
		},
	})
}

// changeByEdits turns edits into changes and makes them. An edit that is invalid regardless of the current
// values is rejected before the leader is contacted.
func (c *configChanger) changeByEdits(cmd *cobra.Command, edits []config.Edit) error {
	if _, err := config.CombineEdits(edits, func(string) config.Limits { return config.Limits{} }); err != nil {
		return err
	}
	return c.change(cmd, func(_ context.Context, _ *control.Client, v *reconfig.View) ([]config.Change, error) {
		return config.CombineEdits(edits, func(team string) config.Limits { return teamLimits(v, team) })
	})
}

func configRollback() *cobra.Command {
	var c configChanger
	return c.addFlags(&cobra.Command{
		Use:   "rollback REVISION",
		Short: "Restore the values of an earlier revision in a new one; shows the effect and asks for confirmation",
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

// planRollback returns the changes that restore an earlier revision.
func planRollback(
	ctx context.Context, client *control.Client, v *reconfig.View, revision uint64,
) ([]config.Change, error) {
	var history []config.Revision
	if err := fetchView(ctx, client, reconfig.Name+"/"+reconfig.ViewHistory, &history); err != nil {
		return nil, err
	}
	slices.Reverse(history) // the view has the newest first
	if n := len(history); n > 0 && history[n-1].Number != v.Revision {
		return nil, failure{errors.New("the configuration has just changed: try again")}
	}
	changes, err := config.ChangesToRestore(history, revision)
	for i := range changes {
		if changes[i].Value.Removed {
			changes[i].Value.Limits = nil // the leader has them
		}
	}
	return changes, err
}
