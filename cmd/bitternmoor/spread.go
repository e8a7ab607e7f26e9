package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/rebalance"
	"bitternmoor/internal/node"
)

func spreadCommand() *cobra.Command {
	return viewCommand("spread", "Show how reports are spread over controllers", node.PathDuties+rebalance.Name, printSpread)
}

func printSpread(out io.Writer, list []rebalance.View) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "CONTROLLER\tMACHINES\tWEIGHT\tLOAD\tTAKES MACHINES")
	for _, v := range list {
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%v\n", v.Node, v.Machines, v.Weight, v.Load, v.Ready)
	}
}
