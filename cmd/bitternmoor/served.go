package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/slo"
	"bitternmoor/internal/node"
)

func servedCommand() *cobra.Command {
	return viewCommand("served", "Show by class and by team how many jobs were due lately, and how many of them were done", node.PathDuties+slo.Name, printServed)
}

func printServed(out io.Writer, list []slo.View) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "KIND\tNAME\tDUE\tDONE BY THEN\tSHARE\tOPEN\tGO AHEAD\tMISSED\tWENT AHEAD\tLARGEST\tDONE BY THEN\tBEGAN WITHIN")
	for _, v := range list {
		kind := "class"
		if v.Team {
			kind = "team"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f s\n", kind, v.Name, v.Due, v.Met, v.Share, v.Open, v.Kept, v.Missed, v.Helped, v.Largest, v.LargestMet, v.LargestWait)
	}
}
