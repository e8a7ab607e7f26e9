package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/console"
	"bitternmoor/internal/wire"
)

func statusCommand() *cobra.Command {
	return viewCommand("status", "Show the leader, blocks, machines and the queue", node.PathStatus, printStatus)
}

func printStatus(out io.Writer, s node.Status) {
	leader := s.Leader
	if leader == "" {
		leader = "nobody"
	}
	console.Printf(out, "%s leads, epoch %d, sure of it: %v, entries not yet durable: %d\n",
		leader, s.Epoch, s.Sure, s.Unsaved)
	console.Line(out, "")
	blocks := console.NewTable(out, "BLOCK", "MACHINES", "CPUS")
	for _, b := range s.Blocks {
		blocks.Row(b.Holder, b.Machines, formatFixed(b.CPUs, 0))
	}
	blocks.Flush()
	console.Line(out, "")
	machines := console.NewTable(out, "MACHINE", "TYPE", "ZONE", "SPOT", "BLOCK", "FREE CPUS", "TASKS", "STATE")
	for _, m := range s.Machines {
		machines.Row(m.Name, m.Type, m.Zone, m.Spot, m.Holder, formatFixed(m.FreeCPUs, 1), m.Tasks, m.State)
	}
	machines.Flush()
	printQueue(out, s)
}

// printQueue prints the jobs in scheduling order, and then the jobs that wait for other jobs.
func printQueue(out io.Writer, s node.Status) {
	console.Line(out, "")
	queue := console.NewTable(out, "JOB", "CLASS", "TEAM", "VIRTUAL SIZE", "SIZE", "FINAL", "WAITING", "PLACED", "DONE")
	for _, j := range s.Queue {
		queue.Row(j.ID, j.Class, j.Team, formatFixed(j.Virtual, 0)+" s", formatFixed(j.Size, 0)+" s", j.Final,
			j.Waiting, j.Placed, j.Finished)
	}
	queue.Flush()
	if len(s.Held) == 0 {
		return
	}
	console.Line(out, "")
	held := console.NewTable(out, "HELD JOB", "CLASS", "TEAM", "TASKS", "WAITS FOR")
	for _, h := range s.Held {
		held.Row(h.ID, h.Class, h.Team, h.Tasks, strings.Join(h.After, ", "))
	}
	held.Flush()
}

func explainCommand() *cobra.Command {
	var client nodeClient
	return client.addFlags(&cobra.Command{
		Use: "explain JOB", Short: "Explain the state of a job and what it waits for", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, ok := wire.ParseID(args[0]); !ok {
				return fmt.Errorf("not a job id: %q", args[0])
			}
			out := cmd.OutOrStdout()
			var e node.Explanation
			return client.printView(out, node.PathExplain+args[0], &e, func() {
				for _, words := range e.Words {
					console.Printf(out, "%s: %s\n", e.ID, words)
				}
			})
		},
	})
}
