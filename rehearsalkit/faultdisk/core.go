package faultdisk

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"saffronfall/saffronfall/coreprocess"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/role"
)

// PowerLossExitCode is the exit code of a core whose machine has lost power.
const PowerLossExitCode = 77

// Command runs the product's core role on a Disk whose faults are controlled over HTTP.
type Command struct {
	Settings string `arg:"" type:"path" help:"Settings file (JSON)."`
	Control  string `help:"Address of the HTTP server that controls the disk's faults." required:""`
	Seed     uint64 `help:"Seed of the random choice of what a loss of power takes." default:"1"`
}

// Run runs the core until it is told to end. It returns an error if the core can't start.
func (c *Command) Run() error {
	return role.Start(c.Settings, func(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger) error {
		// The disk outlives ctx, because the core still writes while it drains.
		diskCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		d := New(diskCtx, c.Seed)
		server := &http.Server{Addr: c.Control, Handler: controlHandler(d), ReadHeaderTimeout: time.Second}
		context.AfterFunc(diskCtx, func() { server.Close() })
		go func() {
			if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				log.Error(err, "the control server of the disk failed; its faults can't be changed", "address", c.Control)
			}
		}()
		return coreprocess.RunOn(ctx, d, p, adopt, log)
	})
}

// controlHandler serves PUT /faults (full, stalled, slow_ms) and POST /power, which applies a loss
// of power and ends the process.
func controlHandler(d *Disk) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		slow, err := strconv.Atoi(q.Get("slow_ms"))
		if err != nil {
			slow = 0
		}
		d.SetFaults(Faults{
			Full:    q.Get("full") == "true",
			Stalled: q.Get("stalled") == "true",
			Slow:    time.Duration(slow) * time.Millisecond,
		})
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /power", func(w http.ResponseWriter, r *http.Request) {
		err := d.LosePower(func() { os.Exit(PowerLossExitCode) })
		http.Error(w, err.Error(), http.StatusInternalServerError)
	})
	return mux
}
