package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"bitternmoor/internal/leader/runtimes"
	"bitternmoor/internal/node"
	"bitternmoor/internal/operators/console"
)

// shownKind is the leader's view of one kind of work.
type shownKind struct {
	Name     string            `json:"name"`
	Estimate runtimes.Estimate `json:"estimate"`
	Nights   [][]float64       `json:"nights"`
}

func runTimesCommand() *cobra.Command {
	path := node.PathComponents + runtimes.Name
	top := &cobra.Command{Use: "run-times", Short: "Show, export, import or delete learned run times"}
	top.AddCommand(
		viewCommand("show", "Show each kind of work with its estimate", path, printKinds),
		viewCommand("export", "Print learned run times as JSON lines, one kind per line, sorted by name",
			path, exportKinds),
		importCommand(), forgetCommand())
	return top
}

// fetchKinds reads the kinds of work that the leader has learned.
func (n *nodeClient) fetchKinds() (list []shownKind, err error) {
	page, err := n.call(http.MethodGet, node.PathComponents+runtimes.Name, nil)
	if err != nil {
		return nil, err
	}
	return list, decodeAnswer("node", page, &list)
}

// changeKinds requests a change of the learned run times from the leader. With --json it prints the answer
// unchanged, otherwise it calls print with the decoded answer.
func (n *nodeClient) changeKinds(out io.Writer, in runtimes.ImportRequest, print func(done runtimes.ImportResult)) error {
	body, err := json.Marshal(in)
	if err != nil {
		return failure{err}
	}
	answer, err := n.call(http.MethodPost, node.PathComponents+runtimes.Name, body)
	if err != nil {
		return err
	}
	if n.json {
		console.Printf(out, "%s\n", answer)
		return nil
	}
	var done runtimes.ImportResult
	if err := decodeAnswer("node", answer, &done); err != nil {
		return err
	}
	print(done)
	return nil
}

// importer holds the flags of the command that imports run times.
type importer struct {
	nodeClient
	replace, yes bool
}

func importCommand() *cobra.Command {
	var im importer
	cmd := im.addFlags(&cobra.Command{
		Use:   "import FILE",
		Short: "Import the export of another installation; shows the effect and asks for confirmation",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return im.run(cmd, args[0]) },
	})
	cmd.Flags().BoolVar(&im.replace, "replace", false, "replace the history of kinds that already exist")
	cmd.Flags().BoolVar(&im.yes, "yes", false, "do not ask for confirmation")
	return cmd
}

// run reads an export, prints its effect, asks for confirmation and sends it to the leader.
func (im *importer) run(cmd *cobra.Command, path string) error {
	in, err := readExport(path)
	if err != nil {
		return err
	}
	in.Replace = im.replace
	known, err := im.fetchKinds()
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if !im.json {
		im.printPlan(out, in, known)
	}
	if err := confirm(cmd, im.yes, "take them in?"); err != nil {
		return err
	}
	return im.changeKinds(out, in, func(done runtimes.ImportResult) {
		console.Printf(out, "%d added, %d replaced, %d left as they are, %d dropped for want of room; "+
			"they are stored over the next minutes\n", done.Added, done.Replaced, done.Left, done.Dropped)
	})
}

// printPlan prints how many kinds would be added, and whether those that already exist are kept or replaced.
func (im *importer) printPlan(out io.Writer, in runtimes.ImportRequest, known []shownKind) {
	both := 0
	for _, imported := range in.Kinds {
		if slices.ContainsFunc(known, func(k shownKind) bool { return k.Name == imported.Name() }) {
			both++
		}
	}
	action := "left as they are"
	if im.replace {
		action = "replaced"
	}
	console.Printf(out, "%d kinds of work are known; %d new ones would be added, %d known ones %s\n",
		len(known), len(in.Kinds)-both, both, action)
}

func forgetCommand() *cobra.Command {
	var client nodeClient
	var yes bool
	cmd := client.addFlags(&cobra.Command{
		Use:   "forget KEY",
		Short: "Delete one kind of work, by its name in show; shows the effect and asks for confirmation",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return client.forgetKind(cmd, args[0], yes)
		},
	})
	cmd.Flags().BoolVar(&yes, "yes", false, "do not ask for confirmation")
	return cmd
}

// forgetKind prints what deleting a kind of work would remove, asks for confirmation and requests the
// deletion from the leader.
func (n *nodeClient) forgetKind(cmd *cobra.Command, name string, yes bool) error {
	known, err := n.fetchKinds()
	if err != nil {
		return err
	}
	i := slices.IndexFunc(known, func(k shownKind) bool { return k.Name == name })
	if i < 0 {
		return fmt.Errorf("KEY: no kind of work is called %q", name)
	}
	out := cmd.OutOrStdout()
	if e := known[i].Estimate; !n.json {
		console.Printf(out, "%s would be forgotten: %d jobs, %d tasks in %d nights, a task %s to %s; coarser kinds stay\n",
			name, e.Jobs, e.Tasks, e.Nights, formatSeconds(e.P50), formatSeconds(e.P90))
	}
	if err := confirm(cmd, yes, "forget it?"); err != nil {
		return err
	}
	return n.changeKinds(out, runtimes.ImportRequest{Forget: []string{name}}, func(runtimes.ImportResult) {
		console.Line(out, "forgotten")
	})
}

// readExport reads an export. It fails if any line is invalid, so that nothing is imported then.
func readExport(path string) (in runtimes.ImportRequest, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return in, err
	}
	for i, line := range bytes.Split(raw, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		number := i + 1
		var kind runtimes.ExportedKind
		if err := json.Unmarshal(line, &kind); err != nil {
			return in, fmt.Errorf("%s: line %d: not a kind of work as JSON: %w", path, number, err)
		}
		if err := kind.Check(); err != nil {
			return in, fmt.Errorf("%s: line %d: %w", path, number, err)
		}
		if slices.ContainsFunc(in.Kinds, func(other runtimes.ExportedKind) bool { return other.Kind == kind.Kind }) {
			return in, fmt.Errorf("%s: line %d: %s is there twice", path, number, kind.Name())
		}
		in.Kinds = append(in.Kinds, kind)
	}
	if len(in.Kinds) == 0 {
		return in, fmt.Errorf("%s: holds no kind of work", path)
	}
	return in, nil
}

// exportKinds prints each kind on its own line.
func exportKinds(out io.Writer, list []json.RawMessage) {
	for _, kind := range list {
		var line bytes.Buffer
		if json.Compact(&line, kind) == nil { // never an error: kind was decoded from valid JSON
			console.Line(out, line.String())
		}
	}
}

func printKinds(out io.Writer, list []shownKind) {
	if len(list) == 0 {
		console.Line(out, "nothing was learned yet")
		return
	}
	t := console.NewTable(out, "KIND", "TASK P50", "TASK P90", "FETCH", "JOB P50", "JOB P90", "JOBS", "TASKS", "NIGHTS",
		"LAST", "REMARK")
	for _, kind := range list {
		e := kind.Estimate
		t.Row(kind.Name, formatSeconds(e.P50), formatSeconds(e.P90), formatSeconds(e.Fetch),
			formatSeconds(e.JobP50), formatSeconds(e.JobP90), e.Jobs, e.Tasks, e.Nights,
			formatSeconds(e.AgeS)+" ago", e.Wide)
	}
	t.Flush()
}
