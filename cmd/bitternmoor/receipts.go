package main

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/operators/console"
	"bitternmoor/internal/operators/receipts"
	"bitternmoor/internal/settings"
)

func verifyCommand() *cobra.Command {
	var files string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "verify RECEIPT --key-file FILE[,FILE]",
		Short: "Check a receipt for units, and print what it certifies",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return verifyReceipt(cmd.OutOrStdout(), args[0], settings.SplitList(files), asJSON)
		},
	}
	cmd.Flags().StringVar(&files, "key-file", "", "files with the keys, separated by commas")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// verifyReceipt checks a receipt against the keys in files, and prints what it certifies.
func verifyReceipt(out io.Writer, receipt string, files []string, asJSON bool) error {
	if len(files) == 0 {
		return errors.New("--key-file is needed")
	}
	keys, err := receipts.Read(files)
	if err != nil {
		return err
	}
	claims, key, err := keys.Verify(receipt, time.Now())
	if err != nil {
		return failure{err}
	}
	if asJSON {
		raw, err := json.Marshal(claims)
		if err != nil {
			return failure{err}
		}
		console.Printf(out, "%s\n", raw)
		return nil
	}
	console.Printf(out, "good until %s, signed with key %s: task %s, attempt %d, given in epoch %d\n",
		claims.ExpiresAt.UTC().Format(time.RFC3339), key, claims.Subject, claims.Attempt, claims.Epoch)
	for _, units := range claims.Units {
		holder := "the task"
		if units.PerJob {
			holder = "the job as a whole"
		}
		console.Printf(out, "  %s: units %s, for %s\n", units.Pool, formatNumbers(units.Numbers), holder)
	}
	return nil
}
