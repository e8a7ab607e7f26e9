package main

import (
	"os"

	"github.com/spf13/cobra"

	"bitternmoor/internal/scaletest/scalerun"
)

// stateCommand returns the command of the process that simulates the state service in a run.
func stateCommand() *cobra.Command {
	var limits scalerun.StateLimits
	cmd := &cobra.Command{
		Use: "state", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return scalerun.ServeState(limits, os.Stdin, os.Stdout) },
	}
	cmd.Flags().Float64Var(&limits.RPS, "rps", 250, "requests per second")
	cmd.Flags().Float64Var(&limits.WriteRPS, "write-rps", 100, "changes per second")
	cmd.Flags().Float64Var(&limits.ValueKB, "value-kb", 16, "maximum size of a value in KiB")
	cmd.Flags().IntVar(&limits.TxnOps, "txn-ops", 16, "maximum number of changes in a transaction")
	return cmd
}

// workerCommand returns the command of the process that simulates one worker in a run.
func workerCommand() *cobra.Command {
	return &cobra.Command{
		Use: "worker", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scalerun.ServeWorker(os.Stdin, os.Stdout) },
	}
}
