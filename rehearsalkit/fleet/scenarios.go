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
	for _, process := range []*Process{f.cores[rand.IntN(len(f.cores))], f.nodes[rand.IntN(len(f.nodes))]} {
		pause(ctx, length/5, length/5)
		logf(f, "kill %s", process.Name)
		f.KillHost(process)
		pause(ctx, length/8, length/8)
		logf(f, "start %s", process.Name)
		f.StartHost(process)
	}
}

const freezeTime = 4 * time.Second

// freeze stops a host of a node and one of a core by SIGSTOP.
func freeze(ctx context.Context, f *Fleet, length time.Duration) {
	for _, process := range []*Process{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		logf(f, "freeze %s", process.Name)
		f.SignalHost(process, syscall.SIGSTOP)
		pause(ctx, freezeTime, freezeTime)
		logf(f, "resume %s", process.Name)
		f.SignalHost(process, syscall.SIGCONT)
	}
}

const cutTime = 3 * time.Second

func cut(ctx context.Context, f *Fleet, length time.Duration) {
	for _, process := range []*Process{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		f.cutBetween(ctx, "cut off "+process.Name, f.sameHost(process), without(f.processes(), f.sameHost(process)), cutTime)
	}
}

func (f *Fleet) processes() []*Process {
	return append(append([]*Process(nil), f.cores...), f.nodes...)
}

func without(list, these []*Process) []*Process {
	return slices.DeleteFunc(slices.Clone(list), func(process *Process) bool { return slices.Contains(these, process) })
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

func diskLost(ctx context.Context, f *Fleet, length time.Duration) {
	process := f.cores[rand.IntN(len(f.cores))]
	pause(ctx, length/4, length/4)
	logf(f, "%s loses its disk", process.Name)
	f.loseDisk(process)
	pause(ctx, length/8, length/8)
	logf(f, "start %s with an empty folder", process.Name)
	f.StartHost(process)
}

// sides splits processes into the first core's zone and the rest.
func (f *Fleet) sides(processes []*Process) (one, rest []*Process) {
	for _, process := range processes {
		if process.Zone == f.cores[0].Zone {
			one = append(one, process)
		} else {
			rest = append(rest, process)
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

const crowdFactor = 9

// crowd adds crowdFactor times as many requesters, all of one tenant.
func crowd(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/4, length/4)
	logf(f, "a crowd of %d more requesters of one tenant", crowdFactor*f.Layout.Users)
	crowded, cancel := context.WithTimeout(ctx, length/2)
	defer cancel()
	ended := make(chan struct{})
	for i := 0; i < crowdFactor*f.Layout.Users; i++ {
		go func() {
			f.runUser(crowded, fmt.Sprintf("crowd%d", i), "t1")
			ended <- struct{}{}
		}()
	}
	for i := 0; i < crowdFactor*f.Layout.Users; i++ {
		<-ended
	}
}

func drain(ctx context.Context, f *Fleet, length time.Duration) {
	for _, process := range []*Process{f.nodes[rand.IntN(len(f.nodes))], f.cores[rand.IntN(len(f.cores))]} {
		pause(ctx, length/6, length/6)
		began := f.now()
		logf(f, "drain %s", process.Name)
		f.Signal(process, syscall.SIGTERM)
		<-process.ended
		logf(f, "%s stopped after %v", process.Name, (f.now() - began).Round(time.Millisecond))
		f.Start(process)
	}
}

func changeMembers(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	process, err := f.newProcess("core-new", "core", f.cores[0].Zone, 250)
	if err != nil {
		logf(f, "no new core: %v", err)
		return
	}
	process.host = 250
	f.Start(process)
	pause(ctx, 500*time.Millisecond, 500*time.Millisecond)
	changed, err := f.operatorClient().AddCore(ctx, f.cores[0].operator, process.operator)
	logf(f, "added %s: %d moves, %v", process.Name, changed.MovesMade, err)
	f.cores = append(f.cores, process)
	pause(ctx, length/5, length/5)
	gone := f.cores[1]
	changed, err = f.operatorClient().Change(ctx, f.cores[0].operator, operator.CoreChange{Kind: core.KindRetire, ID: gone.Name})
	logf(f, "retired %s: %d moves, %v", gone.Name, changed.MovesMade, err)
	if err == nil {
		f.Kill(gone)
	}
}

func restartAll(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/3, length/3)
	logf(f, "everything is killed")
	for _, process := range f.processes() {
		f.Signal(process, syscall.SIGKILL)
	}
	for _, process := range f.processes() {
		<-process.ended
	}
	for _, process := range f.processes() {
		f.Start(process)
	}
}

func replace(ctx context.Context, f *Fleet, length time.Duration) {
	replaced := make(chan struct{})
	count := len(f.backends) / 2
	for _, b := range f.backends[:count] {
		pause(ctx, length/time.Duration(2*count), length/time.Duration(2*count))
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
	for range count {
		<-replaced
	}
}

// rollout restarts the processes one by one with the next binary.
func rollout(ctx context.Context, f *Fleet, length time.Duration) {
	all := f.processes()
	f.Layout.Binary = f.Layout.Next
	for _, process := range all {
		pause(ctx, length/time.Duration(2*len(all)), length/time.Duration(2*len(all)))
		f.Signal(process, syscall.SIGTERM)
		<-process.ended
		f.Start(process)
	}
	logf(f, "%d processes run the next program", len(all))
}

func stalls(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	process := f.cores[rand.IntN(len(f.cores))]
	logf(f, "%s alone is frozen, as by a disk that stalls", process.Name)
	f.Signal(process, syscall.SIGSTOP)
	pause(ctx, length/3, length/3)
	logf(f, "%s is resumed", process.Name)
	f.Signal(process, syscall.SIGCONT)
}

func readdress(ctx context.Context, f *Fleet, length time.Duration) {
	pause(ctx, length/5, length/5)
	old := f.cores[len(f.cores)-1]
	f.Kill(old)
	process, err := f.newProcess(old.Name, "core", old.Zone, 251)
	if err != nil {
		logf(f, "no new address: %v", err)
		return
	}
	process.host = old.host
	logf(f, "%s comes back at %s", process.Name, process.ip)
	f.cores[len(f.cores)-1] = process
	f.Start(process)
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
			applied := <-done
			if ctx.Err() != nil {
				return
			}
			logf(f, "configuration %s based on %d: taken=%v %s", applied.probeKey, base, applied.accepted, applied.code)
			if applied.version > version {
				version = applied.version
			}
		}
	}
}

func (f *Fleet) loseDisk(process *Process) {
	f.KillHost(process)
	os.RemoveAll(process.folder)
	os.MkdirAll(process.folder, 0o755)
}

func all(ctx context.Context, f *Fleet, length time.Duration) {
	go operators(ctx, f, length)
	kills(ctx, f, length/2)
	freeze(ctx, f, length/4)
	cut(ctx, f, length/4)
}
