package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/operator"
)

// Scenarios are what may fail while requesters live.
var Scenarios = map[string]func(ctx context.Context, f *Fleet, length time.Duration){
	"calm":      func(context.Context, *Fleet, time.Duration) {},
	"kills":     kills,
	"freeze":    freeze,
	"cut":       cut,
	"replace":   replace,
	"operators": operators,
	"disk":      diskLost,
	"split":     split,
	"corecut":   coreCut,
	"zone":      zone,
	"crowd":     crowd,
	"drain":     drain,
	"life":      life,
	"closing":   closing,
	"stalls":    stalls,
	"readdress": readdress,
	"rollout":   rollout,
	"all":       all,
}

func tell(f *Fleet, format string, args ...any) {
	fmt.Printf("%7.2fs "+format+"\n", append([]any{f.now().Seconds()}, args...)...)
}

func kills(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Machine{f.cores[rand.IntN(len(f.cores))], f.nodes[rand.IntN(len(f.nodes))]} {
		pause(ctx, length/5, length/5)
		tell(f, "kill %s", m.Name)
		f.KillMachine(m)
		pause(ctx, length/8, length/8)
		tell(f, "start %s", m.Name)
		f.StartMachine(m)
	}
}

func freeze(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Machine{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		tell(f, "freeze %s", m.Name)
		f.SignalMachine(m, syscall.SIGSTOP)
		pause(ctx, 4*time.Second, 4*time.Second)
		tell(f, "wake %s", m.Name)
		f.SignalMachine(m, syscall.SIGCONT)
	}
}

func cut(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Machine{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		f.between(ctx, "cut off "+m.Name, f.together(m), without(f.everyone(), f.together(m)), 3*time.Second)
	}
}

func (f *Fleet) everyone() []*Machine {
	return append(append([]*Machine(nil), f.cores...), f.nodes...)
}

func without(list, these []*Machine) []*Machine {
	return slices.DeleteFunc(slices.Clone(list), func(m *Machine) bool { return slices.Contains(these, m) })
}

// between cuts all links between two sides for a time.
func (f *Fleet) between(ctx context.Context, what string, a, b []*Machine, length time.Duration) {
	tell(f, "%s", what)
	for _, cut := range []bool{true, false} {
		for _, x := range a {
			for _, y := range b {
				f.links.Cut(ctx, x.ip, y.ip, cut)
			}
		}
		if cut {
			pause(ctx, length, length)
			tell(f, "mended: %s", what)
		}
	}
}

func diskLost(ctx context.Context, f *Fleet, length time.Duration) {
	m := f.cores[rand.IntN(len(f.cores))]
	pause(ctx, length/4, length/4)
	tell(f, "%s loses its disk", m.Name)
	f.lose(m)
	pause(ctx, length/8, length/8)
	tell(f, "start %s with an empty folder", m.Name)
	f.StartMachine(m)
}

// sides parts machines into those of the first core's zone and the others.
func (f *Fleet) sides(machines []*Machine) (one, rest []*Machine) {
	for _, m := range machines {
		if m.Zone == f.cores[0].Zone {
			one = append(one, m)
		} else {
			rest = append(rest, m)
		}
	}
	return one, rest
}

// split cuts the cores of one zone from the other cores; nodes still reach all.
func split(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/4, length/4)
	one, rest := f.sides(f.cores)
	f.between(ctx, "the core is split", one, rest, length/4)
}

// coreCut cuts all cores from all nodes.
func coreCut(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/4, length/4)
	f.between(ctx, "the core is cut off", f.cores, f.nodes, length/5)
}

func zone(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/4, length/4)
	one, rest := f.sides(f.everyone())
	f.between(ctx, "a zone is cut off", one, rest, length/4)
}

func crowd(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/4, length/4)
	tell(f, "a crowd of %d more requesters of one tenant", 9*f.Layout.Users)
	crowded, cancel := context.WithTimeout(ctx, length/2)
	defer cancel()
	ended := make(chan struct{})
	for i := 0; i < 9*f.Layout.Users; i++ {
		go func() {
			f.live(crowded, fmt.Sprintf("crowd%d", i), "t1")
			ended <- struct{}{}
		}()
	}
	for i := 0; i < 9*f.Layout.Users; i++ {
		<-ended
	}
}

func drain(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Machine{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		began := f.now()
		tell(f, "drain %s", m.Name)
		f.Signal(m, syscall.SIGTERM)
		<-m.ended
		tell(f, "%s stopped after %v", m.Name, (f.now() - began).Round(time.Millisecond))
		f.Start(m)
	}
}

// life brings a new core into the fleet and retires another one, while
// requesters live.
func life(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	m, err := f.machine("core-new", "core", f.cores[0].Zone, 250)
	if err != nil {
		tell(f, "no new core: %v", err)
		return
	}
	m.host = 250
	f.Start(m)
	pause(ctx, 500*time.Millisecond, 500*time.Millisecond)
	changed, err := f.Caller().AddCore(ctx, f.cores[0].operator, m.operator)
	tell(f, "added %s: %d moves, %v", m.Name, changed.MovesMade, err)
	f.cores = append(f.cores, m)
	pause(ctx, length/5, length/5)
	gone := f.cores[1]
	changed, err = f.Caller().Change(ctx, f.cores[0].operator, operator.CoreChange{Kind: core.KindRetire, ID: gone.Name})
	tell(f, "retired %s: %d moves, %v", gone.Name, changed.MovesMade, err)
	if err == nil {
		f.Kill(gone)
	}
}

// closing is a fault at the end of a day: everything is killed at once and
// started again.
func closing(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/3, length/3)
	tell(f, "everything is killed")
	for _, m := range f.everyone() {
		f.Signal(m, syscall.SIGKILL)
	}
	for _, m := range f.everyone() {
		<-m.ended
	}
	for _, m := range f.everyone() {
		f.Start(m)
	}
}

// replace lets replicas leave and others come, one by one.
func replace(ctx context.Context, f *Fleet, length time.Duration) {
	replaced := make(chan struct{})
	some := len(f.backends) / 2
	for _, b := range f.backends[:some] {
		pause(ctx, length/time.Duration(2*some), length/time.Duration(2*some))
		go func() {
			tell(f, "replica %s leaves", b.id)
			close(b.leave)
			pause(ctx, 3*time.Second, 3*time.Second)
			b.stop()
			pause(ctx, 200*time.Millisecond, 200*time.Millisecond)
			b.id += "x"
			b.run(ctx)
			replaced <- struct{}{}
		}()
	}
	for range some {
		<-replaced
	}
}

// rollout starts one process after the other again with the next program, while
// requesters live.
func rollout(ctx context.Context, f *Fleet, length time.Duration) {
	all := f.everyone()
	f.Layout.Binary = f.Layout.Next
	for _, m := range all {
		pause(ctx, length/time.Duration(2*len(all)), length/time.Duration(2*len(all)))
		f.Signal(m, syscall.SIGTERM)
		<-m.ended
		f.Start(m)
	}
	tell(f, "%d processes run the next program", len(all))
}

// stalls freezes a core alone, as a disk that hangs would.
func stalls(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	m := f.cores[rand.IntN(len(f.cores))]
	tell(f, "%s alone is frozen, as by a disk that stalls", m.Name)
	f.Signal(m, syscall.SIGSTOP)
	pause(ctx, length/3, length/3)
	tell(f, "%s goes on", m.Name)
	f.Signal(m, syscall.SIGCONT)
}

// readdress brings a core back at another address.
func readdress(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	old := f.cores[len(f.cores)-1]
	f.Kill(old)
	m, err := f.machine(old.Name, "core", old.Zone, 251)
	if err != nil {
		tell(f, "no new address: %v", err)
		return
	}
	m.host = old.host
	tell(f, "%s comes back at %s", m.Name, m.ip)
	f.cores[len(f.cores)-1] = m
	f.Start(m)
}

func operators(ctx context.Context, f *Fleet, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	version := uint64(1)
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, time.Second, 2*time.Second)
		base := version
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
				taking, _, _ := f.Hand(ctx, f.cores[rand.IntN(len(f.cores))], base, mark)
				done <- outcome{mark, taking.Version, taking.InForce, taking.Code}
			}()
		}
		for j := 0; j < 2; j++ {
			o := <-done
			if ctx.Err() != nil {
				return
			}
			tell(f, "configuration %s based on %d: taken=%v %s", o.mark, base, o.taken, o.code)
			if o.version > version {
				version = o.version
			}
		}
	}
}

// lose takes a core's disk away: it comes back with an empty folder.
func (f *Fleet) lose(m *Machine) {
	f.KillMachine(m)
	os.RemoveAll(m.folder)
	os.MkdirAll(m.folder, 0o755)
}

func all(ctx context.Context, f *Fleet, length time.Duration) {
	go operators(ctx, f, length)
	kills(ctx, f, length/2)
	freeze(ctx, f, length/4)
	cut(ctx, f, length/4)
}
