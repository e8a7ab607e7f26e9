package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"bitternmoor/internal/scaletest/scalefit"
	"bitternmoor/internal/scaletest/scalerun"
)

func printResult(out io.Writer, r *scalerun.Result) {
	fmt.Fprintf(out, "%s, %d workers, seed %d: %d jobs with %d tasks (%d urgent, %d to cancel), %d accepted, %d over; rules broken: %d\n",
		r.Experiment, r.Size, r.Seed, r.Counts.Jobs, r.Counts.Tasks, r.Counts.Urgent, r.Counts.Cancelled, r.Accepted, r.Over, len(r.Broken))
	for i, b := range r.Broken {
		if i == brokenShown {
			fmt.Fprintf(out, "  and %d more\n", len(r.Broken)-i)
			break
		}
		fmt.Fprintln(out, "  broken:", b)
	}
	if r.Changes > 0 {
		fmt.Fprintf(out, "%d changes of the configuration, %d of them not in force everywhere at the end\n", r.Changes, r.Waiting)
	}
	for i := range r.Phases {
		printPhase(out, &r.Phases[i])
	}
}

// brokenShown is how many broken rules are printed.
const brokenShown = 10

func printPhase(out io.Writer, p *scalerun.Phase) {
	fmt.Fprintf(out, "\n%s: %.0f s, %.0f workers, %.0f tasks running, %.1f starts and %.1f ends a second, no start for %.0f s\n",
		p.Name, p.Seconds, p.Workers, p.Running, p.StartsPerS, p.EndsPerS, p.NoStartsS)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "ROLE\tPROCESSES\tCORES\tMiB\tSOCKETS\tIN kB/s\tOUT kB/s\tMESSAGES/s\tPEERS kB/s\t")
	for _, r := range p.Roles {
		if r.Processes > 0 {
			fmt.Fprintf(w, "%s\t%.1f\t%.4f\t%.1f\t%d\t%.2f\t%.2f\t%.2f\t%.1f\t\n", r.Role, r.Processes, r.CPU, r.RSSMiB, r.Sockets, r.InKBPerS, r.OutKBPerS, r.MessagesPS, r.PeersKBPerS)
		}
	}
	_ = w.Flush() // the terminal may be gone
	s := p.State
	fmt.Fprintf(out, "state service: %.1f requests, %.1f changes, %.1f kB written a second, %d refused by its rates; log %d values, %.0f kB, at most %.0f\n",
		s.RequestsPerS, s.WritesPerS, s.WrittenKBPS, s.RateLimited, s.LogKeys, s.LogKB, s.LogKBMost)
	if p.Urgent.Count > 0 {
		fmt.Fprintf(out, "urgent starts soon enough: %.3f of them; ", p.Prompt)
	}
	fmt.Fprintf(out, "tasks that went without being done: %d\n", p.Lost)
	for _, l := range []struct {
		name string
		of   scalerun.Latency
	}{{"urgent, submitted to started", p.Urgent}, {"other, submitted to started", p.Other}, {"cancelled, asked to told", p.Cancel}, {"machine lost until a task of it runs again", p.Recovery},
		{"configuration, asked to durable", p.Changed}, {"configuration, durable to in force everywhere", p.InForce}} {
		if l.of.Count > 0 {
			fmt.Fprintf(out, "%s: %d, median %.3f s, 99th hundredth %.3f, largest %.3f\n", l.name, l.of.Count, l.of.Median, l.of.P99, l.of.Max)
		}
	}
}

func fitCommand() *cobra.Command {
	var name, phase, against, at string
	var asJSON bool
	c := &cobra.Command{
		Use: "fit FILE...", Short: "Fit what roles cost, by least squares over results of several sizes", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			results, err := readResults(args)
			if err != nil {
				return err
			}
			if name != "" {
				results = slices.DeleteFunc(results, func(r scalerun.Result) bool { return r.Experiment != name })
			}
			names := strings.Split(against, ",")
			where, err := parseAt(at, len(names))
			if err != nil {
				return err
			}
			fits, err := scalefit.Of(results, strings.Split(phase, ","), names)
			if err != nil {
				return fmt.Errorf("--%w", err)
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(fits)
			}
			printFits(cmd.OutOrStdout(), fits, where)
			return nil
		},
	}
	c.Flags().StringVar(&name, "experiment", "", "take the results of this experiment alone")
	c.Flags().StringVar(&phase, "phase", "peak", "the phases that are fitted, taken together, separated by commas")
	c.Flags().StringVar(&against, "against", "workers", "what it is fitted against, separated by commas: "+strings.Join(scalefit.Regressors(), ", "))
	c.Flags().StringVar(&at, "at", "", "print the costs at these values, one for each of --against, separated by commas")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// parseAt reads where costs are to be given; empty: nowhere.
func parseAt(at string, count int) (values []float64, err error) {
	if at == "" {
		return nil, nil
	}
	for part := range strings.SplitSeq(at, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil {
			return nil, fmt.Errorf("--at: not a number: %q", part)
		}
		values = append(values, v)
	}
	if len(values) != count {
		return nil, errors.New("--at: wants one value for each of --against")
	}
	return values, nil
}

func printFits(out io.Writer, fits []scalefit.Fit, at []float64) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "ROLE\tCOST\tUNIT\tINTERCEPT\tSLOPES\tRESIDUAL\tPOINTS\tMEASURED\tAT")
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%s\t%.3g\t%d\t%s\t%s\n", f.Role, f.Cost, f.Unit, f.Intercept, strings.Join(slopes, ", "), f.Residual, f.Points, strings.Join(measured, ", "), value)
	}
}
