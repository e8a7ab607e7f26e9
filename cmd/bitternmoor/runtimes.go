package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/node"
	"bitternmoor/internal/runtimes"
)

func forecastCommand() *cobra.Command {
	return shows("forecast", "Show when open jobs should begin and end, and what they will miss", node.PathDuties+runtimes.Name+"/forecast", printForecasts)
}

func printForecasts(out io.Writer, list []runtimes.Forecast) {
	if len(list) == 0 {
		fmt.Fprintln(out, "no job is open")
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "JOB\tBEGINS IN\tENDS IN\tNINE IN TEN BY\tWAITING\tPLACED\tA TASK\tFROM\tAFTER\tMISSES")
	for _, f := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s to %s\t%s\t%s\t%s\n", f.Job, seconds(f.BeginS), seconds(f.EndS), seconds(f.EndP90S), f.Waiting, f.Placed,
			seconds(f.Estimate.P50), seconds(f.Estimate.P90), f.Estimate.From, strings.Join(f.After, ", "), strings.Join(f.Misses, ", "))
	}
}

// seconds is a time in words.
func seconds(s float64) string {
	d := time.Duration(s * float64(time.Second))
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

func lateCommand() *cobra.Command {
	return shows("late", "Show the jobs that run well past what their kind has shown, and why", node.PathDuties+runtimes.Name+"/late", printLate)
}

func printLate(out io.Writer, list []runtimes.Late) {
	if len(list) == 0 {
		fmt.Fprintln(out, "no job is late")
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "JOB\tCLASS\tTEAM\tAGE\tLEARNED DEADLINE\tEXPECTED END\tWHY\tSINCE")
	for _, l := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Job, l.Class, l.Team, seconds(l.AgeS), seconds(l.LearnedS), seconds(l.EndS), l.Why, time.UnixMilli(l.RaisedMS).UTC().Format("15:04:05Z"))
	}
}

// shownKind is what the leader shows of one kind of work.
type shownKind struct {
	Name     string            `json:"name"`
	Estimate runtimes.Estimate `json:"estimate"`
	Nights   [][]float64       `json:"nights"`
}

func runTimesCommand() *cobra.Command {
	top := &cobra.Command{Use: "run-times", Short: "Show or export what was learned of run times"}
	top.AddCommand(shows("show", "Show each kind of work with its estimate", node.PathDuties+runtimes.Name, printKinds),
		shows("export", "Print what was learned as JSON lines, one kind a line, in order of their names", node.PathDuties+runtimes.Name, exportKinds))
	return top
}

func exportKinds(out io.Writer, list []json.RawMessage) {
	for _, k := range list {
		var line bytes.Buffer
		if json.Compact(&line, k) == nil { // it was read as JSON just now
			fmt.Fprintln(out, line.String())
		}
	}
}

func printKinds(out io.Writer, list []shownKind) {
	if len(list) == 0 {
		fmt.Fprintln(out, "nothing was learned yet")
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "KIND\tTASK P50\tTASK P90\tFETCH\tJOB P50\tJOB P90\tJOBS\tTASKS\tNIGHTS\tLAST\tREMARK")
	for _, k := range list {
		e := k.Estimate
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s ago\t%s\n", k.Name, seconds(e.P50), seconds(e.P90), seconds(e.Fetch), seconds(e.JobP50), seconds(e.JobP90),
			e.Jobs, e.Tasks, e.Nights, seconds(e.AgeS), e.Wide)
	}
}
