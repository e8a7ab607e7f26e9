package main

import (
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/console"
)

func forecastCommand() *cobra.Command {
	cmd := viewCommand("forecast", "Show when open jobs are expected to begin and end, and which targets they will miss",
		node.PathComponents+runtimes.Name+"/forecast", printForecasts)
	cmd.AddCommand(viewCommand("ahead", "Show the work expected over the next twelve hours, from past nights",
		node.PathComponents+runtimes.Name+"/ahead", printAhead))
	return cmd
}

func printAhead(out io.Writer, list []runtimes.ExpectedDemand) {
	if len(list) == 0 || list[0].Nights == 0 {
		console.Line(out, "no night was learned from yet: a night counts once the one after it is over")
		return
	}
	console.Printf(out, "learned from %d nights; %v processors are rented\n", list[0].Nights, list[0].Now)
	t := console.NewTable(out, "FROM", "IN", "WORK, CPU S", "CPUS BUSY", "HEAVIEST NIGHT, CPU S", "CPUS BUSY")
	for _, e := range list {
		t.Row(e.At, formatSeconds(e.InS), formatFixed(e.Work, 0), formatFixed(e.CPUs, 1),
			formatFixed(e.Most, 0), formatFixed(e.CPUsMost, 1))
	}
	t.Flush()
}

func printForecasts(out io.Writer, list []runtimes.Forecast) {
	if len(list) == 0 {
		console.Line(out, "no job is open")
		return
	}
	t := console.NewTable(out, "JOB", "BEGINS IN", "ENDS IN", "NINE IN TEN BY", "WAITING", "PLACED", "A TASK",
		"FROM", "AFTER", "MISSES")
	for _, f := range list {
		task := formatSeconds(f.Estimate.P50) + " to " + formatSeconds(f.Estimate.P90)
		t.Row(f.Job, formatSeconds(f.BeginS), formatSeconds(f.EndS), formatSeconds(f.EndP90S), f.Waiting, f.Placed, task,
			f.Estimate.From, strings.Join(f.After, ", "), strings.Join(f.Misses, ", "))
	}
	t.Flush()
}

func lateCommand() *cobra.Command {
	return viewCommand("late", "Show the jobs that run much longer than others of their kind, and why",
		node.PathComponents+runtimes.Name+"/late", printLate)
}

func printLate(out io.Writer, list []runtimes.LateJob) {
	if len(list) == 0 {
		console.Line(out, "no job is late")
		return
	}
	t := console.NewTable(out, "JOB", "CLASS", "TEAM", "AGE", "LEARNED DEADLINE", "EXPECTED END", "WHY", "SINCE")
	for _, l := range list {
		since := time.UnixMilli(l.RaisedMS).UTC().Format("15:04:05Z")
		t.Row(l.Job, l.Class, l.Team, formatSeconds(l.AgeS), formatSeconds(l.LearnedS), formatSeconds(l.EndS), l.Why, since)
	}
	t.Flush()
}
