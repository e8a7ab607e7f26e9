package main

import (
	"fmt"
	"io"
	"strings"

	"bitternmoor/internal/operators/console"
	"bitternmoor/internal/scaletest/scalefit"
	"bitternmoor/internal/scaletest/scalerun"
)

// maxBrokenPrinted is the maximum number of broken rules that are printed.
const maxBrokenPrinted = 10

// printResult prints the measurements of one run.
func printResult(out io.Writer, r *scalerun.Result) {
	console.Printf(out, "%s, %d workers, seed %d: ", r.Experiment, r.Size, r.Seed)
	console.Printf(out, "%d jobs with %d tasks (%d urgent, %d to cancel), %d accepted, %d over; rules broken: %d\n",
		r.Counts.Jobs, r.Counts.Tasks, r.Counts.Urgent, r.Counts.Cancelled, r.Accepted, r.Over, len(r.Broken))
	for i, rule := range r.Broken {
		if i == maxBrokenPrinted {
			console.Printf(out, "  and %d more\n", len(r.Broken)-i)
			break
		}
		console.Line(out, "  broken: "+rule)
	}
	if r.Changes > 0 {
		console.Printf(out, "%d changes of the configuration, %d of them not in force everywhere at the end\n",
			r.Changes, r.Waiting)
	}
	for i := range r.Phases {
		printPhase(out, &r.Phases[i])
	}
}

func printPhase(out io.Writer, p *scalerun.Phase) {
	console.Printf(out, "\n%s: %.0f s, %.0f workers, %.0f tasks running, ", p.Name, p.Seconds, p.Workers, p.Running)
	console.Printf(out, "%.1f starts and %.1f ends a second, no start for %.0f s\n", p.StartsPerS, p.EndsPerS, p.NoStartsS)
	printRoles(out, p)
	s := p.State
	console.Printf(out, "state service: %.1f requests, %.1f changes, %.1f kB written a second, %d refused by its rates; ",
		s.RequestsPerS, s.WritesPerS, s.WrittenKBPS, s.RateLimited)
	console.Printf(out, "log %d values, %.0f kB, at most %.0f\n", s.LogKeys, s.LogKB, s.LogKBMost)
	if p.Urgent.Count > 0 {
		console.Printf(out, "urgent starts soon enough: %.3f of them; ", p.Prompt)
	}
	console.Printf(out, "tasks that went without being done: %d\n", p.Lost)
	printLatencies(out, p)
}

// printRoles prints the resources that the processes of each role used.
func printRoles(out io.Writer, p *scalerun.Phase) {
	t := console.NewRightAlignedTable(out, "ROLE", "PROCESSES", "CORES", "MiB", "SOCKETS",
		"IN kB/s", "OUT kB/s", "MESSAGES/s", "PEERS kB/s")
	for _, r := range p.Roles {
		if r.Processes > 0 {
			t.Row(r.Role, formatFixed(r.Processes, 1), formatFixed(r.CPU, 4), formatFixed(r.RSSMiB, 1), r.Sockets,
				formatFixed(r.InKBPerS, 2), formatFixed(r.OutKBPerS, 2), formatFixed(r.MessagesPS, 2), formatFixed(r.PeersKBPerS, 1))
		}
	}
	t.Flush()
}

// formatFixed formats a number with a fixed number of decimals.
func formatFixed(v float64, decimals int) string { return fmt.Sprintf("%.*f", decimals, v) }

func printLatencies(out io.Writer, p *scalerun.Phase) {
	latencies := []struct {
		name string
		of   scalerun.Latency
	}{
		{"urgent, submitted to started", p.Urgent},
		{"other, submitted to started", p.Other},
		{"cancelled, asked to told", p.Cancel},
		{"machine lost until a task of it runs again", p.Recovery},
		{"configuration, asked to durable", p.Changed},
		{"configuration, durable to in force everywhere", p.InForce},
	}
	for _, l := range latencies {
		if l.of.Count > 0 {
			console.Printf(out, "%s: %d, median %.3f s, 99th hundredth %.3f, largest %.3f\n",
				l.name, l.of.Count, l.of.Median, l.of.P99, l.of.Max)
		}
	}
}

// printFits prints fits and, if at is not nil, the costs at these values of the regressors.
func printFits(out io.Writer, fits []scalefit.Fit, at []float64) {
	t := console.NewTable(out, "ROLE", "COST", "UNIT", "INTERCEPT", "SLOPES", "RESIDUAL", "POINTS", "MEASURED", "AT")
	for _, f := range fits {
		var slopes, measured []string
		for i, name := range f.Against {
			slopes = append(slopes, fmt.Sprintf("%.4g a %s", f.Slopes[i], name))
			measured = append(measured, fmt.Sprintf("%s %.0f to %.0f", name, f.From[i], f.To[i]))
		}
		value := ""
		if at != nil {
			v, extrapolated := f.At(at)
			value = fmt.Sprintf("%.4g", v)
			if extrapolated {
				value += " (extrapolated)"
			}
		}
		t.Row(f.Role, f.Cost, f.Unit, fmt.Sprintf("%.4g", f.Intercept), strings.Join(slopes, ", "),
			fmt.Sprintf("%.3g", f.Residual), f.Points, strings.Join(measured, ", "), value)
	}
	t.Flush()
}
