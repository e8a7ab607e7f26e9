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

// memoryShare is the fraction of the machine's memory limit that is set as the soft memory limit of the Go
// runtime; the rest is for memory that the runtime does not account for.
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
	runtime.GOMAXPROCS(1) // a controller is limited to part of one core
	debug.SetMemoryLimit(int64(cfg.Deployment.MachineLimits.RAMMB * memoryShare * bytesPerMB))
	return node.New(cfg, log).Run(ctx)
}

// newLogger returns a logger to standard error at a level: error, info or debug; any other name means info.
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
