package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/coldstart"
	"bitternmoor/internal/leader/failover"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/console"
)

func takeoversCommand() *cobra.Command {
	cmd := viewCommand("takeovers", "Show the latest takeovers and the time of each of their steps",
		node.PathComponents+failover.Name, printTakeovers)
	cmd.AddCommand(viewCommand("cold",
		"Show the latest starts without a previous leader: differences found, orders, needless actions",
		node.PathComponents+coldstart.Name, printColdStarts))
	return cmd
}

func printTakeovers(out io.Writer, list []failover.Record) {
	if len(list) == 0 {
		console.Line(out, "no takeover is written down")
		return
	}
	headers := []string{"EPOCH", "LEADER", "FOUND VACANT", "MACHINES", "JOBS", "HELD BACK"}
	for _, step := range failover.Steps() {
		headers = append(headers, step.Heading())
	}
	t := console.NewTable(out, headers...)
	for _, r := range list {
		cells := []any{r.Epoch, r.Node, formatTime(r.AtMS), r.Machines, r.Jobs, r.HeldBack}
		for _, step := range failover.Steps() {
			ms, reached := r.After[step.String()]
			if !reached {
				ms = -1
			}
			cells = append(cells, formatMillis(ms))
		}
		t.Row(cells...)
	}
	t.Flush()
}

func printColdStarts(out io.Writer, list []coldstart.Record) {
	if len(list) == 0 {
		console.Line(out, "no cold start is written down")
		return
	}
	t := console.NewTable(out, "EPOCH", "LEADER", "BEGAN", "DOWN AT LEAST", "AT MOST", "MACHINES", "JOBS", "TASKS",
		"SETTLED", "HALF BACK", "90 % BACK", "ALL BACK")
	for _, r := range list {
		t.Row(r.Epoch, r.Node, formatTime(r.AtMS), formatMillis(r.DownAtLeastMS), formatMillis(r.DownAtMostMS),
			r.Machines, r.Jobs, r.Tasks,
			formatMillis(r.SettledMS), formatMillis(r.WorkHalfMS), formatMillis(r.WorkNinetyMS), formatMillis(r.WorkAllMS))
	}
	t.Flush()
	for _, r := range list {
		console.Printf(out, "\nepoch %d\n", r.Epoch)
		console.Printf(out, "  differences  %s\n", formatCounts(r.Differences))
		console.Printf(out, "  orders       %s\n", formatCounts(r.Orders))
		console.Printf(out, "  needless     %s\n", formatCounts(r.Needless))
	}
}

// formatCounts formats counts by name, the highest first.
func formatCounts(counts map[string]uint64) string {
	if len(counts) == 0 {
		return "none"
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(out, ", ")
}
