// Command scalerun runs experiments with controllers as real processes and thousands of simulated workers,
// and fits their resource cost. It is documented in docs/scale-runs.md.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/prometheus/procfs"
	"github.com/spf13/cobra"

	"bitternmoor/internal/scaletest/experiment"
	"bitternmoor/internal/scaletest/scalerun"
)

// Exit statuses.
const (
	exitFailed = 1 // a broken rule, or a run that could not be carried out
	exitUsage  = 2
)

// failure is the error of a command that was called correctly. Any other error counts as wrong
// usage.
type failure struct{ err error }

func (f failure) Error() string { return f.err.Error() }

func (f failure) Unwrap() error { return f.err }

func main() {
	root := &cobra.Command{
		Use: "scalerun", Short: "Run experiments at scale, and fit their resource cost",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(), fitCommand(), stateCommand(), workerCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root.SetOut(os.Stdout)
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "scalerun:", err) // on error, the exit status still reports the failure
		var failed failure
		if errors.As(err, &failed) {
			os.Exit(exitFailed)
		}
		os.Exit(exitUsage)
	}
}

// runFlags holds the flags of scalerun run.
type runFlags struct {
	binary, sizes, seeds, results, samples, keep string
	json                                         bool
}

func runCommand() *cobra.Command {
	var f runFlags
	cmd := &cobra.Command{
		Use: "run FILE", Short: "Run an experiment", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.run(cmd, args[0]) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.binary, "binary", "target/bitternmoor", "path of the controller's binary")
	flags.StringVar(&f.sizes, "sizes", "", "numbers of workers, separated by commas, instead of those in the file")
	flags.StringVar(&f.seeds, "seeds", "", "seeds, separated by commas, instead of those in the file")
	flags.StringVar(&f.results, "results", "", "file to append the result of each run to, as a line of JSON")
	flags.StringVar(&f.samples, "samples", "", "file to append every sample to, as a line of JSON")
	flags.StringVar(&f.keep, "keep", "", "directory to keep settings files and logs in; otherwise they are removed")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

// load reads the experiment and applies the flags to it.
func (f *runFlags) load(path string) (*experiment.Experiment, error) {
	e, err := experiment.LoadFile(path)
	if err != nil {
		return nil, err
	}
	if f.sizes != "" {
		if e.Sizes, err = experiment.ParseSizes(f.sizes); err != nil {
			return nil, fmt.Errorf("--sizes: %w", err)
		}
	}
	if f.seeds != "" {
		if e.Seeds, err = experiment.ParseSeeds(f.seeds); err != nil {
			return nil, fmt.Errorf("--seeds: %w", err)
		}
	}
	return e, nil
}

// checkResources logs the resources that each size needs, and fails if this machine does not have them.
func checkResources(e *experiment.Experiment, log *slog.Logger) error {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return failure{err}
	}
	memory, err := fs.Meminfo()
	if err != nil {
		return failure{err}
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return failure{err}
	}
	for _, size := range e.Sizes {
		needs := e.Needs(size)
		if err := needs.CheckLimits(*memory.MemTotal<<10, files.Cur); err != nil {
			return fmt.Errorf("sizes: %d: %w", size, err)
		}
		log.Info("resources needed by a run", "needs", needs.String(), "seeds", len(e.Seeds))
	}
	return nil
}

// run runs an experiment once for each size and seed.
func (f *runFlags) run(cmd *cobra.Command, path string) error {
	e, err := f.load(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := checkResources(e, log); err != nil {
		return err
	}
	options, err := f.findPrograms()
	if err != nil {
		return err
	}
	options.Log = log
	samples, err := appendTo(f.samples)
	if err != nil {
		return fmt.Errorf("--samples: %w", err)
	}
	defer func() { _ = samples.Close() }() // write errors were returned for each line
	options.Samples = samples
	results, err := appendTo(f.results)
	if err != nil {
		return fmt.Errorf("--results: %w", err)
	}
	defer func() { _ = results.Close() }() // write errors were returned for each result
	parent := f.keep
	if parent == "" {
		parent, err = os.MkdirTemp("", "scalerun")
		if err != nil {
			return failure{err}
		}
		defer func() { _ = os.RemoveAll(parent) }() // on error, files are left in the temporary directory
	}
	return f.runAll(cmd, e, options, parent, results)
}

// findPrograms finds the controller and this program, which is also started for the other processes of a
// run.
func (f *runFlags) findPrograms() (options scalerun.Options, err error) {
	if options.Controller, err = filepath.Abs(f.binary); err != nil {
		return options, failure{err}
	}
	if _, err := os.Stat(options.Controller); err != nil {
		return options, fmt.Errorf("--binary: %w; see README for how to build it", err)
	}
	if options.Self, err = os.Executable(); err != nil {
		return options, failure{err}
	}
	return options, nil
}

// runAll carries out the runs one after the other and outputs their results. It fails if any run broke a
// rule.
func (f *runFlags) runAll(
	cmd *cobra.Command, e *experiment.Experiment, options scalerun.Options, parent string, results io.Writer,
) (err error) {
	broken := 0
	for _, size := range e.Sizes {
		for _, seed := range e.Seeds {
			options.Dir, err = scalerun.MakeDir(parent, fmt.Sprintf("%s-%d-%d", e.Name, size, seed))
			if err != nil {
				return fmt.Errorf("--keep: %w", err)
			}
			r, err := scalerun.Run(cmd.Context(), e, size, seed, options)
			if err != nil {
				return failure{fmt.Errorf("%d workers, seed %d: %w", size, seed, err)}
			}
			broken += len(r.Broken)
			if err := f.show(cmd.OutOrStdout(), results, r); err != nil {
				return failure{err}
			}
		}
	}
	if broken > 0 {
		return failure{fmt.Errorf("%d rules were broken", broken)}
	}
	return nil
}

// show prints a result and appends it to the file of results.
func (f *runFlags) show(out, results io.Writer, r *scalerun.Result) error {
	if err := json.NewEncoder(results).Encode(r); err != nil {
		return err
	}
	if f.json {
		return json.NewEncoder(out).Encode(r)
	}
	printResult(out, r)
	return nil
}

// discard replaces an output file for which no path is given.
type discard struct{ io.Writer }

func (discard) Close() error { return nil }

// appendTo opens a file for appending; without a path, writes are discarded.
func appendTo(path string) (io.WriteCloser, error) {
	if path == "" {
		return discard{io.Discard}, nil
	}
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
