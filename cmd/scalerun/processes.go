package main

import (
	"os"

	"github.com/spf13/cobra"

	"bitternmoor/internal/scaletest/scalerun"
)

// stateCommand is the process of a run that stands in for the state service.
func stateCommand() *cobra.Command {
	var limits scalerun.StateLimits
	cmd := &cobra.Command{
		Use: "state", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return scalerun.ServeState(limits, os.Stdin, os.Stdout) },
	}
	cmd.Flags().Float64Var(&limits.RPS, "rps", 250, "requests a second")
	cmd.Flags().Float64Var(&limits.WriteRPS, "write-rps", 100, "changes a second")
	cmd.Flags().Float64Var(&limits.ValueKB, "value-kb", 16, "KiB of a value")
	cmd.Flags().IntVar(&limits.TxnOps, "txn-ops", 16, "changes of a transaction")
	return cmd
}

// workerCommand is the process of a run that has the simulated workers.
func workerCommand() *cobra.Command {
	return &cobra.Command{
		Use: "worker", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return scalerun.ServeWorker(os.Stdin, os.Stdout) },
	}
}
