package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/node"
)

func forecastCommand() *cobra.Command {
	c := viewCommand("forecast", "Show when open jobs should begin and end, and what they will miss", node.PathDuties+runtimes.Name+"/forecast", printForecasts)
	c.AddCommand(viewCommand("ahead", "Show the work that is expected over the next twelve hours, by nights before", node.PathDuties+runtimes.Name+"/ahead", printAhead))
	return c
}

func printAhead(out io.Writer, list []runtimes.Expected) {
	if len(list) == 0 || list[0].Nights == 0 {
		fmt.Fprintln(out, "no night was learned from yet: a night counts once the one after it is over")
		return
	}
	fmt.Fprintf(out, "learned from %d nights; %v processors are rented\n", list[0].Nights, list[0].Now)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "FROM\tIN\tWORK, CPU S\tCPUS BUSY\tHEAVIEST NIGHT, CPU S\tCPUS BUSY")
	for _, e := range list {
		fmt.Fprintf(w, "%s\t%s\t%.0f\t%.1f\t%.0f\t%.1f\n", e.At, formatSeconds(e.InS), e.Work, e.CPUs, e.Most, e.CPUsMost)
	}
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s to %s\t%s\t%s\t%s\n", f.Job, formatSeconds(f.BeginS), formatSeconds(f.EndS), formatSeconds(f.EndP90S), f.Waiting, f.Placed,
			formatSeconds(f.Estimate.P50), formatSeconds(f.Estimate.P90), f.Estimate.From, strings.Join(f.After, ", "), strings.Join(f.Misses, ", "))
	}
}

// formatSeconds is a time in words.
func formatSeconds(s float64) string {
	d := time.Duration(s * float64(time.Second))
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

func lateCommand() *cobra.Command {
	return viewCommand("late", "Show the jobs that run well past what their kind has shown, and why", node.PathDuties+runtimes.Name+"/late", printLate)
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Job, l.Class, l.Team, formatSeconds(l.AgeS), formatSeconds(l.LearnedS), formatSeconds(l.EndS), l.Why, time.UnixMilli(l.RaisedMS).UTC().Format("15:04:05Z"))
	}
}

// shownKind is what the leader shows of one kind of work.
type shownKind struct {
	Name     string            `json:"name"`
	Estimate runtimes.Estimate `json:"estimate"`
	Nights   [][]float64       `json:"nights"`
}

func runTimesCommand() *cobra.Command {
	top := &cobra.Command{Use: "run-times", Short: "Show, export, import or forget what was learned of run times"}
	top.AddCommand(viewCommand("show", "Show each kind of work with its estimate", node.PathDuties+runtimes.Name, printKinds),
		viewCommand("export", "Print what was learned as JSON lines, one kind a line, in order of their names", node.PathDuties+runtimes.Name, exportKinds),
		importCommand(), forgetCommand())
	return top
}

// fetchKinds lists what the leader has learned.
func (o *nodeClient) fetchKinds() (list []shownKind, err error) {
	page, err := o.call(http.MethodGet, node.PathDuties+runtimes.Name, nil)
	if err != nil {
		return nil, err
	}
	return list, decodeAnswer("node", page, &list)
}

// changeKinds has the leader change what it has learned. With --json its answer is
// printed as it is, otherwise said.
func (o *nodeClient) changeKinds(out io.Writer, in runtimes.Import, say func(done runtimes.Imported)) error {
	body, err := json.Marshal(in)
	if err != nil {
		return failure{err}
	}
	answer, err := o.call(http.MethodPost, node.PathDuties+runtimes.Name, body)
	if err != nil {
		return err
	}
	if o.json {
		fmt.Fprintf(out, "%s\n", answer)
		return nil
	}
	var done runtimes.Imported
	if err := decodeAnswer("node", answer, &done); err != nil {
		return err
	}
	say(done)
	return nil
}

func importCommand() *cobra.Command {
	var o nodeClient
	var replace, yes bool
	c := &cobra.Command{
		Use: "import FILE", Short: "Take in what another installation has exported; says what it will change, and asks", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			in, err := readExport(args[0])
			if err != nil {
				return err
			}
			in.Replace = replace
			known, err := o.fetchKinds()
			if err != nil {
				return err
			}
			there := 0
			for _, x := range in.Kinds {
				if slices.ContainsFunc(known, func(k shownKind) bool { return k.Name == x.Name() }) {
					there++
				}
			}
			what := "left as they are"
			if replace {
				what = "replaced"
			}
			out := cmd.OutOrStdout()
			if !o.json {
				fmt.Fprintf(out, "%d kinds of work are known; %d new ones would be added, %d known ones %s\n", len(known), len(in.Kinds)-there, there, what)
			}
			if err := confirm(cmd, yes, "take them in?"); err != nil {
				return err
			}
			return o.changeKinds(out, in, func(done runtimes.Imported) {
				fmt.Fprintf(out, "%d added, %d replaced, %d left as they are, %d dropped for want of room; they are written down over the next minutes\n", done.Added, done.Replaced, done.Left, done.Dropped)
			})
		},
	}
	c.Flags().BoolVar(&replace, "replace", false, "replace the history of kinds that are known already")
	c.Flags().BoolVar(&yes, "yes", false, "do not ask")
	return o.addFlags(c)
}

// confirm asks before something is changed, unless a script has said yes.
func confirm(cmd *cobra.Command, yes bool, question string) error {
	if yes {
		return nil
	}
	fmt.Fprint(cmd.OutOrStdout(), question+" [y/N] ")
	answer, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
	if a := strings.ToLower(strings.TrimSpace(answer)); a != "y" && a != "yes" {
		return failure{errors.New("nothing was changed")}
	}
	return nil
}

func forgetCommand() *cobra.Command {
	var o nodeClient
	var yes bool
	c := &cobra.Command{
		Use: "forget KEY", Short: "Forget one kind of work, by its name in show; says what it will change, and asks", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			known, err := o.fetchKinds()
			if err != nil {
				return err
			}
			i := slices.IndexFunc(known, func(k shownKind) bool { return k.Name == args[0] })
			if i < 0 {
				return fmt.Errorf("KEY: no kind of work is called %q", args[0])
			}
			out := cmd.OutOrStdout()
			if e := known[i].Estimate; !o.json {
				fmt.Fprintf(out, "%s would be forgotten: %d jobs, %d tasks in %d nights, a task %s to %s; coarser kinds stay\n", args[0], e.Jobs, e.Tasks, e.Nights, formatSeconds(e.P50), formatSeconds(e.P90))
			}
			if err := confirm(cmd, yes, "forget it?"); err != nil {
				return err
			}
			return o.changeKinds(out, runtimes.Import{Forget: args}, func(runtimes.Imported) { fmt.Fprintln(out, "forgotten") })
		},
	}
	c.Flags().BoolVar(&yes, "yes", false, "do not ask")
	return o.addFlags(c)
}

// readExport reads an export and checks every line before any is used.
func readExport(path string) (in runtimes.Import, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return in, err
	}
	for n, line := range bytes.Split(raw, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		var x runtimes.Exported
		if err := json.Unmarshal(line, &x); err != nil {
			return in, fmt.Errorf("%s: line %d: not a kind of work as JSON: %w", path, n+1, err)
		}
		if err := x.Check(); err != nil {
			return in, fmt.Errorf("%s: line %d: %w", path, n+1, err)
		}
		if slices.ContainsFunc(in.Kinds, func(o runtimes.Exported) bool { return o.Kind == x.Kind }) {
			return in, fmt.Errorf("%s: line %d: %s is there twice", path, n+1, x.Name())
		}
		in.Kinds = append(in.Kinds, x)
	}
	if len(in.Kinds) == 0 {
		return in, fmt.Errorf("%s: holds no kind of work", path)
	}
	return in, nil
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
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s ago\t%s\n", k.Name, formatSeconds(e.P50), formatSeconds(e.P90), formatSeconds(e.Fetch), formatSeconds(e.JobP50), formatSeconds(e.JobP90),
			e.Jobs, e.Tasks, e.Nights, formatSeconds(e.AgeS), e.Wide)
	}
}
