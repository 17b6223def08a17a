// Package role starts one role of a fleet from its settings file: it reads the settings,
// logs, takes signals and carries reloads out. What a role does is handed in.
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

// Run runs a role until the context ends. Settings that were read again come by the
// channel.
type Run func(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger) error

// Start runs a role by a settings file, until SIGTERM or SIGINT.
func Start(settings string, run Run) error {
	reloads := reload.Listen()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p, err := params.ReadFile(settings)
	if err != nil {
		return err
	}
	// The level is read by all goroutines that log while a reload may set it.
	var level slog.LevelVar
	level.Set(levelOf(p))
	logger := logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: &level}))
	adopt := make(chan params.Params, 1)
	follower := reload.Follower{Read: func() ([]byte, error) { return os.ReadFile(settings) }, Adopt: adopt, Log: logger,
		Taken: func(p params.Params) { level.Set(levelOf(p)) }}
	go follower.Run(ctx, reloads, p)
	return run(ctx, p, adopt, logger)
}

// levelOf is the level from which on a process logs: more verbose is lower.
func levelOf(p params.Params) slog.Level { return slog.LevelInfo - slog.Level(p.Verbosity) }
