// Package role runs one role of a fleet as a process, with its settings file, logging and signals.
package role

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/reload"
)

// Run runs a role until ctx ends. Reloaded settings arrive on updates.
type Run func(ctx context.Context, p params.Params, updates <-chan params.Params, log logr.Logger) error

// Start runs a role with the settings file at path until SIGTERM or SIGINT. It returns the
// error of reading the settings or of the role.
func Start(path string, run Run) error {
	reloads := reload.Listen()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := params.ReadFile(path)
	if err != nil {
		return err
	}
	// A LevelVar, because goroutines log while a reload sets the level.
	var level slog.LevelVar
	level.Set(logLevel(p))
	logger := logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: &level}))
	updates := make(chan params.Params, 1)
	reloader := reload.Reloader{Read: func() ([]byte, error) { return os.ReadFile(path) }, Updates: updates, Log: logger,
		OnReload: func(p params.Params) { level.Set(logLevel(p)) }}
	go reloader.Run(ctx, reloads, p)
	return run(ctx, p, updates, logger)
}

func logLevel(p params.Params) slog.Level { return slog.LevelInfo - slog.Level(p.Verbosity) }
