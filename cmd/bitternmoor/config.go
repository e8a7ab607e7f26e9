package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/control"
	"bitternmoor/internal/settings"
)

func configCommand() *cobra.Command {
	top := &cobra.Command{Use: "config", Short: "Show and change what may change while controllers run: teams, and some tunables"}
	top.AddCommand(configShow(), viewCommand("history", "Show the last changes, the newest first", node.PathDuties+reconfig.Name+"/"+reconfig.ViewHistory, printHistory),
		configSet(), configApply(), configRollback())
	return top
}

func configShow() *cobra.Command {
	var o nodeClient
	return o.addFlags(&cobra.Command{
		Use: "show", Short: "Show the configuration, and which revision of it each controller has in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			path := node.PathDuties + reconfig.Name
			var v reconfig.View
			err := o.printView(out, path, &v, func() { printConfig(out, &v) })
			var unanswered statusError
			if !errors.As(err, &unanswered) || unanswered.status != http.StatusServiceUnavailable {
				return err
			}
			// The leader is not reached: what this controller has, and how old that is.
			var h reconfig.LocalView
			return o.printView(out, path+"/"+reconfig.ViewHere, &h, func() { printLocalConfig(out, &h) })
		},
	})
}

func printConfig(out io.Writer, v *reconfig.View) {
	fmt.Fprintf(out, "revision %d", v.Revision)
	if v.Pending > 0 {
		fmt.Fprintf(out, ", %d changes on their way", v.Pending)
	}
	if v.Missing > 0 {
		fmt.Fprintf(out, "; revision %d was in force and is lost: nothing can be changed", v.Missing)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\n\nCONTROLLER\tREVISION\tFOR\tBEHIND FOR\tREMARK")
	for _, c := range v.Controllers {
		remark := ""
		switch {
		case c.Leads:
			remark = "leads"
		case !c.Heard:
			remark = "not heard in this term"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", c.Name, c.Revision, formatSeconds(c.SinceS), formatSeconds(c.LagS), remark)
	}
	fmt.Fprintln(w, "\nTEAM\tCPUS\tAT MOST\tGPUS\tAT MOST\tSET BY\tREMARK")
	for _, t := range v.Teams {
		remark := ""
		if t.Removed {
			remark = "removed: its open jobs go on"
		}
		fmt.Fprintf(w, "%s\t%v\t%s\t%v\t%s\t%s\t%s\n", t.Name, t.CPUs, formatLimit(t.CPUsMax), t.GPUs, formatLimit(t.GPUsMax), formatSource(t.Revision), remark)
	}
	fmt.Fprintln(w, "\nTUNABLE\tVALUE\tIN SETTINGS\tSET BY\tCOUNTS")
	for _, t := range v.Tunables {
		fmt.Fprintf(w, "%s\t%v\t%v\t%s\t%s\n", t.Key, t.Value, t.Settings, formatSource(t.Revision), t.Effect)
	}
	_ = w.Flush() // the terminal may be gone
}

func formatLimit(v float64) string {
	if v == 0 {
		return "any"
	}
	return fmt.Sprint(v)
}

func formatSource(revision uint64) string {
	if revision == 0 {
		return "settings"
	}
	return "revision " + strconv.FormatUint(revision, 10)
}

func printLocalConfig(out io.Writer, h *reconfig.LocalView) {
	age := "no leader has told of it"
	if h.AgeS >= 0 {
		age = "a leader told of it " + formatSeconds(h.AgeS) + " ago"
	}
	fmt.Fprintf(out, "the leader is not reached; %s has revision %d for %s, %s\n", h.Node, h.Revision, formatSeconds(h.SinceS), age)
	for _, s := range h.Sets {
		fmt.Fprintf(out, "  %s: %s (revision %d)\n", s.Item, s.Value, s.Revision)
	}
}

func printHistory(out io.Writer, list []config.Revision) {
	if len(list) == 0 {
		fmt.Fprintln(out, "nothing was changed, or it is not remembered any more")
	}
	for _, r := range list {
		fmt.Fprintf(out, "revision %d, %s, by %s", r.Number, time.UnixMilli(r.AtMS).UTC().Format(time.RFC3339), r.By)
		if r.Note != "" {
			fmt.Fprintf(out, ": %s", r.Note)
		}
		fmt.Fprintln(out)
		for i, c := range r.Changes {
			fmt.Fprintf(out, "  %s: %s, before %s\n", c.Item, c.Value, r.Before[i])
		}
	}
}

// configChanger holds the flags of the commands that change the configuration.
type configChanger struct {
	controlClient
	note string
}

func (c *configChanger) addFlags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&c.note, "note", "", "why, for the history")
	return c.controlClient.addFlags(cmd)
}

// change shows what changes would do, asks, and has them made: for the revision that was seen,
// whole or not at all, and until that is durable.
func (c *configChanger) change(cmd *cobra.Command, plan func(ctx context.Context, client *control.Client, v *reconfig.View) ([]config.Change, error)) error {
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
	out := cmd.OutOrStdout()
	if !c.json {
		fmt.Fprintf(out, "revision %d would become %d:\n", v.Revision, answer.Revision)
		for _, x := range changes {
			fmt.Fprintf(out, "  %s: %s, now %s\n", x.Item, x.Value, currentValue(&v, x.Item))
		}
		for _, r := range answer.Remarks {
			fmt.Fprintln(out, "  "+r)
		}
	}
	if err := confirm(cmd, c.yes, "change it?"); err != nil {
		return err
	}
	request.DryRun = false
	return c.commit(cmd, client, request)
}

// unboundedPlatform is a platform whose values hold any name: how long one may be is the leader's to say.
func unboundedPlatform() *settings.Platform {
	p := &settings.Platform{}
	p.Deployment.State.ValueKB = math.MaxInt32
	return p
}

// commit asks for a change until it is durable.
func (c *configChanger) commit(cmd *cobra.Command, client *control.Client, request reconfig.Request) error {
	return retryUntilDurable(cmd.Context(), "the change is asked for, and not known to be durable: a takeover may undo it; see config history", func(ctx context.Context) (bool, error) {
		var answer reconfig.Answer
		raw, err := requestChange(ctx, client, request, &answer)
		if err != nil || !answer.Durable {
			return false, err
		}
		if c.json {
			fmt.Fprintf(cmd.OutOrStdout(), "%s\n", raw)
		} else {
			fmt.Fprintf(cmd.OutOrStdout(), "done: revision %d\n", answer.Revision)
		}
		return true, nil
	})
}

// requestChange makes one request of the duty.
func requestChange(ctx context.Context, client *control.Client, request reconfig.Request, answer *reconfig.Answer) (json.RawMessage, error) {
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

// fetchView looks into a duty through the operators' listener.
func fetchView(ctx context.Context, client *control.Client, what string, into any) error {
	raw, err := client.Show(ctx, what)
	if errors.Is(err, control.ErrUnknown) {
		return failure{errors.New("the configuration cannot be changed while controllers run: config.history is 0")}
	}
	if err != nil {
		return failure{err}
	}
	return decodeAnswer("controller", raw, into)
}

// teamLimits are a team's limits in a view.
func teamLimits(v *reconfig.View, team string) config.Limits {
	if i := slices.IndexFunc(v.Teams, func(t reconfig.Team) bool { return t.Name == team }); i >= 0 {
		return v.Teams[i].Limits
	}
	return config.Limits{}
}

// currentValue says in words what an item is in a view.
func currentValue(v *reconfig.View, i config.Item) string {
	if i.Team != "" {
		n := slices.IndexFunc(v.Teams, func(t reconfig.Team) bool { return t.Name == i.Team })
		if n < 0 {
			return "not there"
		}
		l := v.Teams[n].Limits
		return config.Value{Limits: &l}.String()
	}
	n := slices.IndexFunc(v.Tunables, func(t reconfig.Tunable) bool { return t.Key == i.Tunable })
	if n < 0 {
		return "not there"
	}
	return fmt.Sprint(v.Tunables[n].Value)
}

func configSet() *cobra.Command {
	var c configChanger
	return c.addFlags(&cobra.Command{
		Use: "set CHANGE...", Short: "Change things together: team/NAME/FIELD=N, team/NAME=removed, SECTION.KEY=N, or =settings; says what that does, and asks", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var edits []config.Edit
			for _, a := range args {
				e, err := config.ParseEdit(a)
				if err != nil {
					return err
				}
				edits = append(edits, e)
			}
			return c.changeByEdits(cmd, edits)
		},
	})
}

func configApply() *cobra.Command {
	var c configChanger
	return c.addFlags(&cobra.Command{
		Use: "apply FILE", Short: "Change all that an INI file names, whole or not at all; says what that does, and asks", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			edits, err := config.FileEdits(args[0])
			if err != nil {
				return err
			}
			return c.changeByEdits(cmd, edits)
		},
	})
}

// changeByEdits makes changes of edits. What is wrong whatever stands now is refused before anybody is asked.
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
		Use: "rollback REVISION", Short: "Go back to what stood at a revision, by a new one; says what that does, and asks", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			to, err := strconv.ParseUint(args[0], 10, 63)
			if err != nil {
				return &settings.FieldError{Field: "REVISION", Why: fmt.Sprintf("not a whole number: %q", args[0])}
			}
			if c.note == "" {
				c.note = "back to revision " + args[0]
			}
			return c.change(cmd, func(ctx context.Context, client *control.Client, v *reconfig.View) ([]config.Change, error) {
				var history []config.Revision
				if err := fetchView(ctx, client, reconfig.Name+"/"+reconfig.ViewHistory, &history); err != nil {
					return nil, err
				}
				slices.Reverse(history)
				if n := len(history); n > 0 && history[n-1].Number != v.Revision {
					return nil, failure{errors.New("the configuration has just changed: look again")}
				}
				changes, err := config.Undo(history, to)
				for i := range changes {
					if changes[i].Value.Removed {
						changes[i].Value.Limits = nil // the leader knows them
					}
				}
				return changes, err
			})
		},
	})
}
