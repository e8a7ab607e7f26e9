// Command scalerun plays experiments with controllers as real processes and thousands of hollow
// workers, and fits what they cost. docs/scale-runs.md is its page.
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
	"strings"
	"syscall"

	"github.com/prometheus/procfs"
	"github.com/spf13/cobra"

	"bitternmoor/internal/scaletest/experiment"
	"bitternmoor/internal/scaletest/scalerun"
)

// Exit statuses.
const (
	exitFailed = 1 // a broken rule, or a run that could not be played
	exitUsage  = 2
)

// failure is an error that is none of usage.
type failure struct{ err error }

func (f failure) Error() string { return f.err.Error() }

func main() {
	root := &cobra.Command{Use: "scalerun", Short: "Play experiments at scale, and fit what they cost", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand(), fitCommand(), stateCommand(), workerCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root.SetOut(os.Stdout)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "scalerun:", err)
		var f failure
		if errors.As(err, &f) {
			os.Exit(exitFailed)
		}
		os.Exit(exitUsage)
	}
}

// runFlags are those of scalerun run.
type runFlags struct {
	binary, sizes, seeds, results, samples, keep string
	json                                         bool
}

func runCommand() *cobra.Command {
	var f runFlags
	c := &cobra.Command{
		Use: "run FILE", Short: "Play an experiment", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.run(cmd, args[0]) },
	}
	c.Flags().StringVar(&f.binary, "binary", "target/bitternmoor", "the built controller")
	c.Flags().StringVar(&f.sizes, "sizes", "", "numbers of workers, separated by commas, in place of the file's")
	c.Flags().StringVar(&f.seeds, "seeds", "", "seeds, separated by commas, in place of the file's")
	c.Flags().StringVar(&f.results, "results", "", "a file to which the result of each run is added, as a line of JSON")
	c.Flags().StringVar(&f.samples, "samples", "", "a file to which every sample is added, as a line of JSON")
	c.Flags().StringVar(&f.keep, "keep", "", "a folder for settings files and logs; otherwise they are removed")
	c.Flags().BoolVar(&f.json, "json", false, "print JSON")
	return c
}

// load reads the experiment as the flags change it.
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

// permit says beforehand what the sizes will take, and refuses what the machine cannot carry.
func permit(e *experiment.Experiment, log *slog.Logger) error {
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
		n := e.Needs(size)
		if err := n.Refuse(*memory.MemTotal<<10, files.Cur); err != nil {
			return fmt.Errorf("sizes: %d: %w", size, err)
		}
		log.Info("a run will take", "needs", n.String(), "seeds", len(e.Seeds))
	}
	return nil
}

func (f *runFlags) run(cmd *cobra.Command, path string) error {
	e, err := f.load(path)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := permit(e, log); err != nil {
		return err
	}
	if f.binary, err = filepath.Abs(f.binary); err != nil {
		return failure{err}
	}
	if _, err := os.Stat(f.binary); err != nil {
		return fmt.Errorf("--binary: %w; README says how it is built", err)
	}
	self, err := os.Executable()
	if err != nil {
		return failure{err}
	}
	samples, err := appendTo(f.samples)
	if err != nil {
		return fmt.Errorf("--samples: %w", err)
	}
	defer samples.Close()
	results, err := appendTo(f.results)
	if err != nil {
		return fmt.Errorf("--results: %w", err)
	}
	defer results.Close()
	parent := f.keep
	if parent == "" {
		if parent, err = os.MkdirTemp("", "scalerun"); err != nil {
			return failure{err}
		}
		defer os.RemoveAll(parent)
	}
	broken := 0
	for _, size := range e.Sizes {
		for _, seed := range e.Seeds {
			dir, err := scalerun.MakeDir(parent, fmt.Sprintf("%s-%d-%d", e.Name, size, seed))
			if err != nil {
				return fmt.Errorf("--keep: %w", err)
			}
			r, err := scalerun.Run(cmd.Context(), e, size, seed, scalerun.Options{Controller: f.binary, Self: self, Log: log, Samples: samples, Dir: dir})
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

// show prints a result and adds it to the file of results.
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

// discard is a file that nobody wants.
type discard struct{ io.Writer }

func (discard) Close() error { return nil }

func appendTo(path string) (io.WriteCloser, error) {
	if path == "" {
		return discard{io.Discard}, nil
	}
	return os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}

// readResults reads the lines of files of results.
func readResults(paths []string) (all []scalerun.Result, err error) {
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		dec := json.NewDecoder(file)
		for {
			var r scalerun.Result
			err := dec.Decode(&r)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				file.Close()
				return nil, fmt.Errorf("%s: not lines of results: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
			}
			all = append(all, r)
		}
		file.Close()
	}
	return all, nil
}

// stateCommand and workerCommand are the processes of a run.
func stateCommand() *cobra.Command {
	var l scalerun.StateLimits
	c := &cobra.Command{
		Use: "state", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return scalerun.ServeState(l, os.Stdin, os.Stdout) },
	}
	c.Flags().Float64Var(&l.RPS, "rps", 250, "requests a second")
	c.Flags().Float64Var(&l.WriteRPS, "write-rps", 100, "changes a second")
	c.Flags().Float64Var(&l.ValueKB, "value-kb", 16, "KiB of a value")
	c.Flags().IntVar(&l.TxnOps, "txn-ops", 16, "changes of a transaction")
	return c
}

func workerCommand() *cobra.Command {
	return &cobra.Command{
		Use: "worker", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scalerun.ServeWorker(os.Stdin, os.Stdout) },
	}
}
