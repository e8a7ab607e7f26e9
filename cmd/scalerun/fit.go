package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"bitternmoor/internal/scaletest/scalefit"
	"bitternmoor/internal/scaletest/scalerun"
)

// fitFlags holds the flags of scalerun fit.
type fitFlags struct {
	experiment, phases, against, at string
	json                            bool
}

func fitCommand() *cobra.Command {
	var f fitFlags
	cmd := &cobra.Command{
		Use:   "fit FILE...",
		Short: "Fit the cost of each role by least squares over results of several sizes",
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return f.run(cmd.OutOrStdout(), args) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.experiment, "experiment", "", "use only the results of this experiment")
	flags.StringVar(&f.phases, "phase", "peak", "phases to fit together, separated by commas")
	flags.StringVar(&f.against, "against", "workers",
		"regressors, separated by commas: "+strings.Join(scalefit.Regressors(), ", "))
	flags.StringVar(&f.at, "at", "", "print the costs at these values of the regressors, separated by commas")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	return cmd
}

// run fits the results in files and prints the fits.
func (f *fitFlags) run(out io.Writer, files []string) error {
	results, err := readResults(files)
	if err != nil {
		return err
	}
	if f.experiment != "" {
		results = slices.DeleteFunc(results, func(r scalerun.Result) bool { return r.Experiment != f.experiment })
	}
	regressors := strings.Split(f.against, ",")
	at, err := parseAt(f.at, len(regressors))
	if err != nil {
		return err
	}
	fits, err := scalefit.FitCosts(results, strings.Split(f.phases, ","), regressors)
	if err != nil {
		return fmt.Errorf("--%w", err)
	}
	if f.json {
		return json.NewEncoder(out).Encode(fits)
	}
	printFits(out, fits, at)
	return nil
}

// parseAt parses the regressors' values at which costs are printed; an empty text gives none.
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
		return nil, errors.New("--at: needs one value for each regressor of --against")
	}
	return values, nil
}

// readResults reads files of results, one JSON object per line.
func readResults(paths []string) (all []scalerun.Result, err error) {
	for _, path := range paths {
		results, err := readResultFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, results...)
	}
	return all, nil
}

func readResultFile(path string) (results []scalerun.Result, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened only for reading
	decoder := json.NewDecoder(file)
	for {
		var r scalerun.Result
		err := decoder.Decode(&r)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: invalid line of results: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
		}
		results = append(results, r)
	}
}
