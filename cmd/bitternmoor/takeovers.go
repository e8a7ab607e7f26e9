package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/coldstart"
	"bitternmoor/internal/leader/failover"
	"bitternmoor/internal/node"
)

func takeoversCommand() *cobra.Command {
	cmd := viewCommand("takeovers", "Show the last takeovers, and when each of their steps was reached", node.PathDuties+failover.Name, printTakeovers)
	cmd.AddCommand(viewCommand("cold", "Show the last starts in which nobody led before: what was found, ordered, and needless", node.PathDuties+coldstart.Name, printColdStarts))
	return cmd
}

// printSeconds prints times in milliseconds, each in a column of its own; one below 0 was
// not reached.
func printSeconds(w io.Writer, ms ...int64) {
	for _, x := range ms {
		if x < 0 {
			fmt.Fprint(w, "\t-")
		} else {
			fmt.Fprintf(w, "\t%.2f s", float64(x)/1000)
		}
	}
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05Z") }

func printTakeovers(out io.Writer, list []failover.Record) {
	if len(list) == 0 {
		fmt.Fprintln(out, "no takeover is written down")
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprint(w, "EPOCH\tLEADER\tFOUND VACANT\tMACHINES\tJOBS\tHELD BACK")
	for _, s := range failover.Steps() {
		fmt.Fprintf(w, "\t%s", s.Words())
	}
	fmt.Fprintln(w)
	for _, r := range list {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%d", r.Epoch, r.Node, formatTime(r.AtMS), r.Machines, r.Jobs, r.HeldBack)
		for _, s := range failover.Steps() {
			ms, ok := r.After[s.String()]
			if !ok {
				ms = -1
			}
			printSeconds(w, ms)
		}
		fmt.Fprintln(w)
	}
}

func printColdStarts(out io.Writer, list []coldstart.Record) {
	if len(list) == 0 {
		fmt.Fprintln(out, "no cold start is written down")
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "EPOCH\tLEADER\tBEGAN\tDOWN AT LEAST\tAT MOST\tMACHINES\tJOBS\tTASKS\tSETTLED\tHALF BACK\t90 % BACK\tALL BACK")
	for _, r := range list {
		fmt.Fprintf(w, "%d\t%s\t%s", r.Epoch, r.Node, formatTime(r.AtMS))
		printSeconds(w, r.LeastMS, r.MostMS)
		fmt.Fprintf(w, "\t%d\t%d\t%d", r.Machines, r.Jobs, r.Tasks)
		printSeconds(w, r.SettledMS, r.HalfMS, r.NinetyMS, r.BackMS)
		fmt.Fprintln(w)
	}
	_ = w.Flush() // to out, whose errors show at its end
	for _, r := range list {
		fmt.Fprintf(out, "\nepoch %d\n  differences  %s\n  orders       %s\n  needless     %s\n", r.Epoch, formatCounts(r.Differences), formatCounts(r.Orders), formatCounts(r.Needless))
	}
}

// formatCounts prints counts by name, the most frequent first.
func formatCounts(m map[string]uint64) string {
	if len(m) == 0 {
		return "none"
	}
	keys := slices.SortedFunc(maps.Keys(m), func(a, b string) int { return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a, b)) })
	var out []string
	for _, k := range keys {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}
