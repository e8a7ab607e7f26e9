package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/node"
	"bitternmoor/internal/takeovers"
)

func takeoversCommand() *cobra.Command {
	return shows("takeovers", "Show the last takeovers, and when each of their steps was reached", node.PathDuties+takeovers.Name, printTakeovers)
}

func printTakeovers(out io.Writer, list []takeovers.Record) {
	if len(list) == 0 {
		fmt.Fprintln(out, "no takeover is written down")
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprint(w, "EPOCH\tLEADER\tFOUND VACANT\tMACHINES\tJOBS\tHELD BACK")
	for _, s := range takeovers.Steps() {
		fmt.Fprintf(w, "\t%s", s.Words())
	}
	fmt.Fprintln(w)
	for _, r := range list {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%d\t%d", r.Epoch, r.Node, time.UnixMilli(r.AtMS).UTC().Format("2006-01-02 15:04:05Z"), r.Machines, r.Jobs, r.HeldBack)
		for _, s := range takeovers.Steps() {
			if ms, ok := r.After[s.String()]; ok {
				fmt.Fprintf(w, "\t%.2f s", float64(ms)/1000)
			} else {
				fmt.Fprint(w, "\t-")
			}
		}
		fmt.Fprintln(w)
	}
}
