// Command bitternmoor is a cluster scheduler: its controllers rent machines and run users' jobs on them,
// smallest job first.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"bitternmoor/internal/settings"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

var version = "0.1.0"

// failure is the error of a command that was called correctly. Any other error counts as wrong
// usage.
type failure struct{ err error }

func (f failure) Error() string { return f.err.Error() }

func (f failure) Unwrap() error { return f.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := rootCommand().ExecuteContext(ctx)
	if err == nil {
		return
	}
	_, _ = fmt.Fprintln(os.Stderr, "bitternmoor:", err) // on error, the exit status still reports the failure
	var failed failure
	if errors.As(err, &failed) {
		os.Exit(exitFailed)
	}
	os.Exit(exitUsage)
}

// settingsFlags holds the flags that name the sources of the settings.
type settingsFlags struct {
	config, tunables string
	set              []string
}

// addConfig adds the flag for the platform's settings file to a command.
func (f *settingsFlags) addConfig(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.config, "config", "", "the platform's settings file (TOML)")
}

// load reads and checks the settings.
func (f *settingsFlags) load() (*settings.Settings, error) {
	if f.config == "" {
		return nil, errors.New("--config FILE is needed")
	}
	return settings.Load(f.config, f.tunables, f.set...)
}

func rootCommand() *cobra.Command {
	var flags settingsFlags
	root := &cobra.Command{
		Use: "bitternmoor", Short: "Cluster scheduler with size-based scheduling", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := flags.load()
			if err != nil {
				return err
			}
			if err := serve(cmd.Context(), cfg); err != nil {
				return failure{err}
			}
			return nil
		},
	}
	flags.addConfig(root)
	persistent := root.PersistentFlags()
	persistent.StringVar(&flags.tunables, "tunables", "", "the operators' settings file (INI)")
	persistent.StringArrayVar(&flags.set, "set", nil,
		"one operators' setting as SECTION.KEY=VALUE, which overrides the file; may be repeated")
	root.AddCommand(
		checkConfigCommand(&flags), statusCommand(), explainCommand(), takeoversCommand(), servedCommand(),
		spreadCommand(), forecastCommand(), lateCommand(), runTimesCommand(), poolsCommand(), configCommand(),
		certsCommand(), versionCommand())
	root.SetOut(os.Stdout)
	return root
}

func checkConfigCommand(flags *settingsFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use: "check-config", Short: "Check settings and report errors", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := flags.load()
			if err != nil {
				return err
			}
			if err := cfg.CheckServable(); err != nil {
				return err
			}
			cmd.Printf("settings of %s are in order\n", cfg.Node)
			return nil
		},
	}
	flags.addConfig(cmd)
	return cmd
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { cmd.Println("bitternmoor " + version) },
	}
}
