package main

import (
	"context"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"bitternmoor/internal/node"
	"bitternmoor/internal/settings"
)

// memoryShare is the share of the machine's memory that the Go runtime aims to stay below; the rest is for
// what the runtime does not count.
const memoryShare = 0.7

const bytesPerMB = 1 << 20

// serve runs a controller until the context ends.
func serve(ctx context.Context, cfg *settings.Settings) error {
	log := newLogger(os.Getenv("LOG_LEVEL"))
	if err := cfg.CheckServable(); err != nil {
		log.Warn("settings describe a fleet that cannot be served well", "error", err)
	}
	if kinds := cfg.UnknownObjectives(); len(kinds) > 0 {
		log.Warn("objectives of unknown kinds ignored", "kinds", kinds)
	}
	runtime.GOMAXPROCS(1) // a controller has a share of one core
	debug.SetMemoryLimit(int64(cfg.Deployment.MachineLimits.RAMMB * memoryShare * bytesPerMB))
	return node.New(cfg, log).Run(ctx)
}

// newLogger logs to standard error at a level: error, info or debug; an unknown one counts as info.
func newLogger(levelName string) *slog.Logger {
	level, known := slog.LevelInfo, true
	switch levelName {
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
		log.Info("unknown LOG_LEVEL, info used", "value", levelName)
	}
	return log
}
