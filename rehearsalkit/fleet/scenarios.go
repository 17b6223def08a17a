package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"saffronfall/rehearsalkit/judge"
)

// Scenarios are what may fail while requesters live.
var Scenarios = map[string]func(ctx context.Context, f *Fleet, length time.Duration){
	"calm":      func(context.Context, *Fleet, time.Duration) {},
	"kills":     kills,
	"freeze":    freeze,
	"cut":       cut,
	"replace":   replace,
	"operators": operators,
	"all":       all,
}

func tell(f *Fleet, format string, args ...any) {
	fmt.Printf("%7.2fs "+format+"\n", append([]any{f.now().Seconds()}, args...)...)
}

func kills(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Machine{f.cores[rand.IntN(len(f.cores))], f.nodes[rand.IntN(len(f.nodes))]} {
		pause(ctx, length/5, length/5)
		tell(f, "kill %s", m.Name)
		f.Kill(m)
		pause(ctx, length/8, length/8)
		tell(f, "start %s", m.Name)
		f.Start(m)
	}
}

func freeze(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Machine{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		tell(f, "freeze %s", m.Name)
		f.Signal(m, syscall.SIGSTOP)
		pause(ctx, 4*time.Second, 4*time.Second)
		tell(f, "wake %s", m.Name)
		f.Signal(m, syscall.SIGCONT)
	}
}

func cut(ctx context.Context, f *Fleet, length time.Duration) {
	everyone := append(append([]*Machine(nil), f.cores...), f.nodes...)
	for _, m := range []*Machine{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		tell(f, "cut off %s", m.Name)
		for _, o := range everyone {
			if o != m {
				f.links.Cut(ctx, m.ip, o.ip, true)
			}
		}
		pause(ctx, 3*time.Second, 3*time.Second)
		tell(f, "mend %s", m.Name)
		for _, o := range everyone {
			if o != m {
				f.links.Cut(ctx, m.ip, o.ip, false)
			}
		}
	}
}

func replace(ctx context.Context, f *Fleet, length time.Duration) {
	for i, b := range f.backends {
		if b.service == "search" || i > len(f.backends)/2 {
			continue
		}
		pause(ctx, length/20, length/20)
		tell(f, "replica %s leaves", b.id)
		close(b.leave)
		pause(ctx, 3*time.Second, 3*time.Second)
		b.stop()
		pause(ctx, 200*time.Millisecond, 200*time.Millisecond)
		b.id += "x"
		b.run(ctx)
	}
}

func operators(ctx context.Context, f *Fleet, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	version := uint64(1)
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, time.Second, 2*time.Second)
		type outcome struct {
			mark    string
			version uint64
			taken   bool
			code    string
		}
		done := make(chan outcome, 2)
		for j := 0; j < 2; j++ {
			mark := fmt.Sprintf("probe-%d-%d", i, j)
			go func() {
				taking, _, _ := f.Hand(ctx, f.cores[rand.IntN(len(f.cores))], version, mark)
				done <- outcome{mark, taking.Version, taking.Taken, taking.Code}
			}()
		}
		for j := 0; j < 2; j++ {
			o := <-done
			if ctx.Err() != nil {
				return
			}
			tell(f, "configuration %s based on %d: taken=%v %s", o.mark, version, o.taken, o.code)
			if o.taken {
				f.probe(ctx, o.mark, o.version)
				defer func() {}()
			} else if o.code == "race_lost" {
				f.probeRefused(ctx, o.mark)
			}
			if o.version > version {
				version = o.version
			}
		}
	}
}

// probe looks at every node for a version's own key right after it was taken.
func (f *Fleet) probe(ctx context.Context, mark string, version uint64) {
	for _, m := range f.nodes {
		a, _ := f.ask(ctx, m, asking{method: "GET", path: "/v1/programs/none", key: mark, kind: "look", body: map[string]any{}, within: time.Second})
		if a.Code == "unknown_key" {
			f.note(func(r *judge.Record) {
				r.Taken = append(r.Taken, judge.Taken{At: a.At - r.Limits.Late - time.Millisecond, Version: version, Mark: mark})
				r.Probes = append(r.Probes, judge.Probe{At: a.At, Node: m.Name, Version: version - 1})
			})
		}
	}
}

func (f *Fleet) probeRefused(ctx context.Context, mark string) {
	for _, m := range f.nodes {
		a, _ := f.ask(ctx, m, asking{method: "GET", path: "/v1/programs/none", key: mark, kind: "look", body: map[string]any{}, within: time.Second})
		if a.Code == "unknown_program" {
			f.note(func(r *judge.Record) {
				r.Taken = append(r.Taken, judge.Taken{Version: 1 << 40, Refused: true})
				r.Probes = append(r.Probes, judge.Probe{At: a.At, Node: "refused", Version: 1 << 40})
			})
		}
	}
}

// lose takes a core's disk away: it comes back with an empty folder.
func (f *Fleet) lose(m *Machine) {
	f.Kill(m)
	os.RemoveAll(m.folder)
	os.MkdirAll(m.folder, 0o755)
}

func all(ctx context.Context, f *Fleet, length time.Duration) {
	go operators(ctx, f, length)
	kills(ctx, f, length/2)
	freeze(ctx, f, length/4)
	cut(ctx, f, length/4)
}
