package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"bitternmoor/internal/operators/certs"
	"bitternmoor/internal/operators/console"
	"bitternmoor/internal/settings"
)

func certsCommand() *cobra.Command {
	top := &cobra.Command{Use: "certs", Short: "Create certificates for the operators' listener of small installations"}
	top.AddCommand(certsCACommand(), certsIssueCommand())
	return top
}

// certFlags holds the flags of the commands that create certificates.
type certFlags struct {
	dir  string
	days int
}

func (f *certFlags) addTo(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&f.dir, "dir", ".", "directory of certificates and keys")
	cmd.Flags().IntVar(&f.days, "days", 365, "number of days for which the certificate is valid")
	return cmd
}

// maxCertDays is about one hundred years.
const maxCertDays = 36500

// lifetime returns how long a certificate is valid.
func (f *certFlags) lifetime() (time.Duration, error) {
	if f.days < 1 || f.days > maxCertDays {
		return 0, fmt.Errorf("--days: must be between 1 and %d, is %d", maxCertDays, f.days)
	}
	return time.Duration(f.days) * 24 * time.Hour, nil
}

func certsCACommand() *cobra.Command {
	var flags certFlags
	return flags.addTo(&cobra.Command{
		Use: "ca", Short: "Create a CA; existing files are not overwritten", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			lifetime, err := flags.lifetime()
			if err != nil {
				return err
			}
			if err := certs.MakeCA(flags.dir, "bitternmoor CA", lifetime); err != nil {
				return failure{err}
			}
			console.Printf(cmd.OutOrStdout(),
				"%s/ca.pem and its key %s/ca.key were created: whoever has the key can issue operator certificates\n",
				flags.dir, flags.dir)
			return nil
		},
	})
}

func certsIssueCommand() *cobra.Command {
	var flags certFlags
	var hosts string
	cmd := flags.addTo(&cobra.Command{
		Use:   "issue NAME",
		Short: "Create a certificate, signed by the CA, for an operator or, with --hosts, for a controller",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lifetime, err := flags.lifetime()
			if err != nil {
				return err
			}
			name := args[0]
			if err := certs.Issue(flags.dir, name, settings.SplitList(hosts), lifetime); err != nil {
				return failure{err}
			}
			console.Printf(cmd.OutOrStdout(), "%s/%s.pem and its key %s/%s.key were created\n",
				flags.dir, name, flags.dir, name)
			return nil
		},
	})
	cmd.Flags().StringVar(&hosts, "hosts", "", "host names and addresses of a controller, separated by commas")
	return cmd
}
