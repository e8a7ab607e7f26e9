// Command bitternmoor is a cluster scheduler: controllers that rent machines
// and run users' jobs on them, the smallest first.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"bitternmoor/internal/node"
	"bitternmoor/internal/settings"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

// memoryShare of the machine's memory is what the Go runtime may aim for; the
// rest is for what it does not count.
const memoryShare = 0.7

var version = "0.1.0"

type failure struct{ err error }

func (f failure) Error() string { return f.err.Error() }

func (f failure) Unwrap() error { return f.err }

func main() {
	var config, tunables string
	var set []string
	root := &cobra.Command{
		Use: "bitternmoor", Short: "Cluster scheduler with size-based scheduling", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load(config, tunables, set)
			if err != nil {
				return err
			}
			if err := serve(cmd.Context(), cfg); err != nil {
				return failure{err}
			}
			return nil
		},
	}
	root.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML)")
	root.PersistentFlags().StringVar(&tunables, "tunables", "", "the operators' settings file (INI)")
	root.PersistentFlags().StringArrayVar(&set, "set", nil, "SECTION.KEY=VALUE: one operators' setting, over that of the file; may be given several times")
	check := &cobra.Command{
		Use: "check-config", Short: "Check settings and say what is wrong", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load(config, tunables, set)
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
	check.Flags().StringVar(&config, "config", "", "the platform's settings file (TOML)")
	root.AddCommand(check, statusCommand(), explainCommand(), takeoversCommand(), servedCommand(), spreadCommand(), forecastCommand(), lateCommand(), runTimesCommand(), poolsCommand(), configCommand(), certsCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { cmd.Println("bitternmoor " + version) },
	})
	root.SetOut(os.Stdout)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "bitternmoor:", err)
		var f failure
		if errors.As(err, &f) {
			os.Exit(exitFailed)
		}
		os.Exit(exitUsage)
	}
}

func load(config, tunables string, set []string) (*settings.Settings, error) {
	if config == "" {
		return nil, errors.New("--config FILE is needed")
	}
	return settings.Load(config, tunables, set...)
}

func serve(ctx context.Context, cfg *settings.Settings) error {
	level, known := slog.LevelInfo, true
	word := os.Getenv("LOG_LEVEL")
	switch word {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	case "info", "":
	default:
		known = false
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	if !known {
		log.Info("LOG_LEVEL not known, info is used", "value", word)
	}
	if err := cfg.CheckServable(); err != nil {
		log.Warn("the settings describe a fleet that cannot be served well", "error", err)
	}
	if kinds := cfg.UnknownObjectives(); len(kinds) > 0 {
		log.Warn("objectives of kinds that are not known are left out of account", "kinds", kinds)
	}
	runtime.GOMAXPROCS(1) // a controller has a share of one core
	debug.SetMemoryLimit(int64(cfg.Deployment.MachineLimits.RAMMB * memoryShare * (1 << 20)))
	return node.New(cfg, log).Run(ctx)
}
