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

// Scenarios are the failures that can run beside the requesters, by name.
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
	"life":      changeMembers,
	"closing":   restartAll,
	"stalls":    stalls,
	"readdress": readdress,
	"rollout":   rollout,
	"all":       all,
}

func logf(f *Fleet, format string, args ...any) {
	fmt.Printf("%7.2fs "+format+"\n", append([]any{f.now().Seconds()}, args...)...)
}

func kills(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Process{f.cores[rand.IntN(len(f.cores))], f.nodes[rand.IntN(len(f.nodes))]} {
		pause(ctx, length/5, length/5)
		logf(f, "kill %s", m.Name)
		f.KillHost(m)
		pause(ctx, length/8, length/8)
		logf(f, "start %s", m.Name)
		f.StartHost(m)
	}
}

// freeze stops a host of a node and one of a core by SIGSTOP for a time.
func freeze(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Process{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		logf(f, "freeze %s", m.Name)
		f.SignalHost(m, syscall.SIGSTOP)
		pause(ctx, 4*time.Second, 4*time.Second)
		logf(f, "resume %s", m.Name)
		f.SignalHost(m, syscall.SIGCONT)
	}
}

func cut(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Process{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		f.cutBetween(ctx, "cut off "+m.Name, f.sameHost(m), without(f.processes(), f.sameHost(m)), 3*time.Second)
	}
}

func (f *Fleet) processes() []*Process {
	return append(append([]*Process(nil), f.cores...), f.nodes...)
}

func without(list, these []*Process) []*Process {
	return slices.DeleteFunc(slices.Clone(list), func(m *Process) bool { return slices.Contains(these, m) })
}

func (f *Fleet) cutBetween(ctx context.Context, what string, a, b []*Process, length time.Duration) {
	logf(f, "%s", what)
	for _, cut := range []bool{true, false} {
		for _, x := range a {
			for _, y := range b {
				f.links.Cut(ctx, x.ip, y.ip, cut)
			}
		}
		if cut {
			pause(ctx, length, length)
			logf(f, "restored: %s", what)
		}
	}
}

// diskLost restarts the host of a core with an empty folder.
func diskLost(ctx context.Context, f *Fleet, length time.Duration) {
	m := f.cores[rand.IntN(len(f.cores))]
	pause(ctx, length/4, length/4)
	logf(f, "%s loses its disk", m.Name)
	f.loseDisk(m)
	pause(ctx, length/8, length/8)
	logf(f, "start %s with an empty folder", m.Name)
	f.StartHost(m)
}

// sides splits processes into the first core's zone and the rest.
func (f *Fleet) sides(machines []*Process) (one, rest []*Process) {
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
	f.cutBetween(ctx, "the core is split", one, rest, length/4)
}

func coreCut(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/4, length/4)
	f.cutBetween(ctx, "the core is cut off", f.cores, f.nodes, length/5)
}

func zone(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/4, length/4)
	one, rest := f.sides(f.processes())
	f.cutBetween(ctx, "a zone is cut off", one, rest, length/4)
}

// crowd adds nine times as many requesters, all of one tenant.
func crowd(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/4, length/4)
	logf(f, "a crowd of %d more requesters of one tenant", 9*f.Layout.Users)
	crowded, cancel := context.WithTimeout(ctx, length/2)
	defer cancel()
	ended := make(chan struct{})
	for i := 0; i < 9*f.Layout.Users; i++ {
		go func() {
			f.runUser(crowded, fmt.Sprintf("crowd%d", i), "t1")
			ended <- struct{}{}
		}()
	}
	for i := 0; i < 9*f.Layout.Users; i++ {
		<-ended
	}
}

func drain(ctx context.Context, f *Fleet, length time.Duration) {
	for _, m := range []*Process{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		began := f.now()
		logf(f, "drain %s", m.Name)
		f.Signal(m, syscall.SIGTERM)
		<-m.ended
		logf(f, "%s stopped after %v", m.Name, (f.now() - began).Round(time.Millisecond))
		f.Start(m)
	}
}

func changeMembers(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	m, err := f.newProcess("core-new", "core", f.cores[0].Zone, 250)
	if err != nil {
		logf(f, "no new core: %v", err)
		return
	}
	m.host = 250
	f.Start(m)
	pause(ctx, 500*time.Millisecond, 500*time.Millisecond)
	changed, err := f.Caller().AddCore(ctx, f.cores[0].operator, m.operator)
	logf(f, "added %s: %d moves, %v", m.Name, changed.MovesMade, err)
	f.cores = append(f.cores, m)
	pause(ctx, length/5, length/5)
	gone := f.cores[1]
	changed, err = f.Caller().Change(ctx, f.cores[0].operator, operator.CoreChange{Kind: core.KindRetire, ID: gone.Name})
	logf(f, "retired %s: %d moves, %v", gone.Name, changed.MovesMade, err)
	if err == nil {
		f.Kill(gone)
	}
}

func restartAll(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/3, length/3)
	logf(f, "everything is killed")
	for _, m := range f.processes() {
		f.Signal(m, syscall.SIGKILL)
	}
	for _, m := range f.processes() {
		<-m.ended
	}
	for _, m := range f.processes() {
		f.Start(m)
	}
}

func replace(ctx context.Context, f *Fleet, length time.Duration) {
	replaced := make(chan struct{})
	some := len(f.backends) / 2
	for _, b := range f.backends[:some] {
		pause(ctx, length/time.Duration(2*some), length/time.Duration(2*some))
		go func() {
			logf(f, "replica %s leaves", b.id)
			close(b.leaving)
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

// rollout restarts the processes one by one with the next binary.
func rollout(ctx context.Context, f *Fleet, length time.Duration) {
	all := f.processes()
	f.Layout.Binary = f.Layout.Next
	for _, m := range all {
		pause(ctx, length/time.Duration(2*len(all)), length/time.Duration(2*len(all)))
		f.Signal(m, syscall.SIGTERM)
		<-m.ended
		f.Start(m)
	}
	logf(f, "%d processes run the next program", len(all))
}

// stalls freezes a core but not the node on its host, as a hanging disk would.
func stalls(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	m := f.cores[rand.IntN(len(f.cores))]
	logf(f, "%s alone is frozen, as by a disk that stalls", m.Name)
	f.Signal(m, syscall.SIGSTOP)
	pause(ctx, length/3, length/3)
	logf(f, "%s is resumed", m.Name)
	f.Signal(m, syscall.SIGCONT)
}

func readdress(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	old := f.cores[len(f.cores)-1]
	f.Kill(old)
	m, err := f.newProcess(old.Name, "core", old.Zone, 251)
	if err != nil {
		logf(f, "no new address: %v", err)
		return
	}
	m.host = old.host
	logf(f, "%s comes back at %s", m.Name, m.ip)
	f.cores[len(f.cores)-1] = m
	f.Start(m)
}

// operators repeatedly applies two descriptions on the same base concurrently.
func operators(ctx context.Context, f *Fleet, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	version := uint64(1)
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, time.Second, 2*time.Second)
		base := version
		type outcome struct {
			probeKey string
			version  uint64
			accepted bool
			code     string
		}
		done := make(chan outcome, 2)
		for j := 0; j < 2; j++ {
			probeKey := fmt.Sprintf("probe-%d-%d", i, j)
			go func() {
				result, _, _ := f.Apply(ctx, f.cores[rand.IntN(len(f.cores))], base, probeKey)
				done <- outcome{probeKey, result.Version, result.InForce, result.Code}
			}()
		}
		for j := 0; j < 2; j++ {
			o := <-done
			if ctx.Err() != nil {
				return
			}
			logf(f, "configuration %s based on %d: taken=%v %s", o.probeKey, base, o.accepted, o.code)
			if o.version > version {
				version = o.version
			}
		}
	}
}

// loseDisk kills the core's host and empties the core's folder.
func (f *Fleet) loseDisk(m *Process) {
	f.KillHost(m)
	os.RemoveAll(m.folder)
	os.MkdirAll(m.folder, 0o755)
}

func all(ctx context.Context, f *Fleet, length time.Duration) {
	go operators(ctx, f, length)
	kills(ctx, f, length/2)
	freeze(ctx, f, length/4)
	cut(ctx, f, length/4)
}
