package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/core/config"
	"bitternmoor/internal/leader/reconfig"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/console"
)

func configCommand() *cobra.Command {
	top := &cobra.Command{
		Use:   "config",
		Short: "Show and change the settings that can change while controllers run: teams and some tunables",
	}
	history := viewCommand("history", "Show the latest changes, newest first",
		node.PathComponents+reconfig.Name+"/"+reconfig.ViewHistory, printHistory)
	top.AddCommand(configShow(), history, configSet(), configApply(), configRollback())
	return top
}

func configShow() *cobra.Command {
	var client nodeClient
	return client.addFlags(&cobra.Command{
		Use:   "show",
		Short: "Show the configuration, and the revision that is in force on each controller",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return client.printConfig(cmd.OutOrStdout()) },
	})
}

// printConfig prints the leader's view of the configuration. If the leader cannot be reached, it prints the
// configuration of the queried controller and its age.
func (n *nodeClient) printConfig(out io.Writer) error {
	path := node.PathComponents + reconfig.Name
	var view reconfig.View
	err := n.printView(out, path, &view, func() { printConfig(out, &view) })
	var unanswered statusError
	if !errors.As(err, &unanswered) || unanswered.status != http.StatusServiceUnavailable {
		return err
	}
	var local reconfig.LocalView
	return n.printView(out, path+"/"+reconfig.ViewLocal, &local, func() { printLocalConfig(out, &local) })
}

func printConfig(out io.Writer, v *reconfig.View) {
	console.Printf(out, "revision %d", v.Revision)
	if v.Pending > 0 {
		console.Printf(out, ", %d changes on their way", v.Pending)
	}
	if v.Missing > 0 {
		console.Printf(out, "; revision %d was in force and is lost: nothing can be changed", v.Missing)
	}
	console.Printf(out, "\n\n")
	printControllers(out, v)
	console.Line(out, "")
	printTeams(out, v)
	console.Line(out, "")
	tunables := console.NewTable(out, "TUNABLE", "VALUE", "IN SETTINGS", "SET BY", "COUNTS")
	for _, t := range v.Tunables {
		tunables.Row(t.Key, t.Value, t.Settings, formatSource(t.Revision), t.Effect)
	}
	tunables.Flush()
}

func printControllers(out io.Writer, v *reconfig.View) {
	controllers := console.NewTable(out, "CONTROLLER", "REVISION", "FOR", "BEHIND FOR", "REMARK")
	for _, c := range v.Controllers {
		remark := ""
		switch {
		case c.Leads:
			remark = "leads"
		case !c.Heard:
			remark = "not heard in this term"
		}
		controllers.Row(c.Name, c.Revision, formatSeconds(c.SinceS), formatSeconds(c.LagS), remark)
	}
	controllers.Flush()
}

func printTeams(out io.Writer, v *reconfig.View) {
	teams := console.NewTable(out, "TEAM", "CPUS", "AT MOST", "GPUS", "AT MOST", "SET BY", "REMARK")
	for _, t := range v.Teams {
		remark := ""
		if t.Removed {
			remark = "removed: its open jobs go on"
		}
		teams.Row(t.Name, t.CPUs, formatLimit(t.CPUsMax), t.GPUs, formatLimit(t.GPUsMax), formatSource(t.Revision), remark)
	}
	teams.Flush()
}

// formatLimit formats a team's limit; 0 means that there is none.
func formatLimit(v float64) string {
	if v == 0 {
		return "any"
	}
	return fmt.Sprint(v)
}

// formatSource formats the source of a value: the settings, or a revision.
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
	console.Printf(out, "the leader is not reached; %s has revision %d for %s, %s\n",
		h.Node, h.Revision, formatSeconds(h.SinceS), age)
	for _, s := range h.Sets {
		console.Printf(out, "  %s: %s (revision %d)\n", s.Item, s.Value, s.Revision)
	}
}

func printHistory(out io.Writer, list []config.Revision) {
	if len(list) == 0 {
		console.Line(out, "nothing was changed, or it is not remembered any more")
	}
	for _, r := range list {
		console.Printf(out, "revision %d, %s, by %s", r.Number, time.UnixMilli(r.AtMS).UTC().Format(time.RFC3339), r.By)
		if r.Note != "" {
			console.Printf(out, ": %s", r.Note)
		}
		console.Line(out, "")
		for i, c := range r.Changes {
			console.Printf(out, "  %s: %s, before %s\n", c.Item, c.Value, r.Before[i])
		}
	}
}
