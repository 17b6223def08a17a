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

// PowerLost is the exit code of a core whose machine has lost power.
const PowerLossExitCode = 77

// Command runs the shipped core role on a disk of this package, which is told over HTTP
// what ails it.
type Command struct {
	Settings string `arg:"" type:"path" help:"Settings file (JSON)."`
	Control  string `help:"Address at which the disk is told what ails it." required:""`
	Seed     uint64 `help:"Seed of what losses of power take." default:"1"`
}

// Run runs the core until it is told to end.
func (c *Command) Run() error {
	return role.Start(c.Settings, func(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger) error {
		// The disk outlives the drain of a core that was told to end.
		life, cancel := context.WithCancel(context.Background())
		defer cancel()
		d := New(life, c.Seed)
		server := &http.Server{Addr: c.Control, Handler: controlHandler(d), ReadHeaderTimeout: time.Second}
		context.AfterFunc(life, func() { server.Close() })
		go func() {
			if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				log.Error(err, "the disk's controls")
			}
		}()
		return coreprocess.RunOn(ctx, d, p, adopt, log)
	})
}

// controls let somebody outside make the disk fail: PUT /faults with full, stalled and
// slow_ms, and POST /power, which ends the process.
func controlHandler(d *Disk) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		slow, err := strconv.Atoi(q.Get("slow_ms"))
		if err != nil {
			slow = 0
		}
		d.SetFaults(Faults{Full: q.Get("full") == "true", Stalled: q.Get("stalled") == "true", Slow: time.Duration(slow) * time.Millisecond})
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /power", func(w http.ResponseWriter, r *http.Request) {
		err := d.LosePower(func() { os.Exit(PowerLossExitCode) })
		http.Error(w, err.Error(), http.StatusInternalServerError)
	})
	return mux
}
