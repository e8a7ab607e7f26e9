package main

import (
	"io"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/rebalance"
	"bitternmoor/internal/leader/slo"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/console"
)

func servedCommand() *cobra.Command {
	return viewCommand("served",
		"Show, by class and team, how many jobs were due recently, and how many of them were done by then",
		node.PathComponents+slo.Name, printServed)
}

func printServed(out io.Writer, list []slo.View) {
	t := console.NewTable(out, "KIND", "NAME", "DUE", "DONE BY THEN", "SHARE", "OPEN", "GO AHEAD", "MISSED", "WENT AHEAD",
		"LARGEST", "DONE BY THEN", "BEGAN WITHIN")
	for _, v := range list {
		kind := "class"
		if v.Team {
			kind = "team"
		}
		t.Row(kind, v.Name, v.Due, v.Met, formatFixed(v.Share, 2), v.Open, v.Boosted, v.Missed, v.BoostedTotal,
			v.Largest, v.LargestMet, formatFixed(v.LargestWait, 0)+" s")
	}
	t.Flush()
}

func spreadCommand() *cobra.Command {
	return viewCommand("spread", "Show how worker reports are distributed among controllers",
		node.PathComponents+rebalance.Name, printSpread)
}

func printSpread(out io.Writer, list []rebalance.View) {
	t := console.NewTable(out, "CONTROLLER", "MACHINES", "WEIGHT", "LOAD", "TAKES MACHINES")
	for _, v := range list {
		t.Row(v.Node, v.Machines, formatFixed(v.Weight, 2), formatFixed(v.Load, 2), v.Ready)
	}
	t.Flush()
}
