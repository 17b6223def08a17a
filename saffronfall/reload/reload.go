// Package reload reloads the settings of a running process on SIGHUP and applies those that may
// change without a restart.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"saffronfall/saffronfall/params"
)

// Requests delivers pending reload requests. Several pending requests count as one.
type Requests <-chan os.Signal

// Listen starts to handle SIGHUP. Call it before the settings are first read: until then SIGHUP
// ends the process, and one that arrives during the read may announce a change that the read
// missed.
func Listen() Requests {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// Reloader reloads the settings on request.
type Reloader struct {
	// Read returns the settings text.
	Read func() ([]byte, error)
	// Updates receives the settings to run with after each reload.
	Updates chan<- params.Params
	// OnReload, if set, is called with the new settings before they go to Updates.
	OnReload func(p params.Params)
	Log      logr.Logger
}

// Run reloads the settings on each request until ctx ends. Invalid settings change nothing.
func (r Reloader) Run(ctx context.Context, requests Requests, running params.Params) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests:
		}
		text, err := r.Read()
		var next params.Params
		var applied, restart []string
		if err == nil {
			next, applied, restart, err = params.Reload(running, text)
		}
		if err != nil {
			r.Log.Info("settings cannot be read or are invalid; the current settings stay in force", "faults", err.Error())
			continue
		}
		running = next
		if r.OnReload != nil {
			r.OnReload(running)
		}
		select {
		case r.Updates <- running:
		case <-ctx.Done():
			return
		}
		r.Log.Info("settings read again", "taken", applied, "need a restart", restart)
	}
}
