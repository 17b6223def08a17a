// Package reload takes SIGHUP: a process reads its settings again and adopts what may
// change while it runs.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"saffronfall/saffronfall/params"
)

// Requests are reloads that were asked for and not carried out yet. Several count as
// one.
type Requests <-chan os.Signal

// Listen begins to take SIGHUP. It comes before the settings are read for the first
// time: until it is called, a SIGHUP ends the process, and one that comes while the
// settings are read may be about what was not read.
func Listen() Requests {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// Follower carries reloads out.
type Follower struct {
	// Read reads the product's settings.
	Read func() ([]byte, error)
	// Adopt takes the settings that a running process is to go by.
	Adopt chan<- params.Params
	// Taken, where it is set, is told of settings that were adopted.
	Taken func(p params.Params)
	Log   logr.Logger
}

// Run carries reloads out until the context ends. Faulty settings change nothing.
func (f Follower) Run(ctx context.Context, requests Requests, running params.Params) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests:
		}
		text, err := f.Read()
		var next params.Params
		var taken, restart []string
		if err == nil {
			next, taken, restart, err = params.Adopt(running, text)
		}
		if err != nil {
			f.Log.Info("settings not taken; the old ones stay whole", "faults", err.Error())
			continue
		}
		running = next
		if f.Taken != nil {
			f.Taken(running)
		}
		select {
		case f.Adopt <- running:
		case <-ctx.Done():
			return
		}
		f.Log.Info("settings read again", "taken", taken, "need a restart", restart)
	}
}
