package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

type faultKind struct {
	name string
	// weight is the relative frequency.
	weight int
	// inject causes and repairs the fault. It returns what was affected, or "" if the fault
	// was skipped.
	inject func(f *Fleet, ctx context.Context, random *rand.Rand) (targets string)
}

// processFaults also holds the faults of links between processes and of replicas.
var processFaults = []faultKind{
	{"kill", 4, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.kill()
		pause(ctx, between(random, 0, 1500*time.Millisecond))
		p.start()
	})},
	{"freeze", 3, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.signal(syscall.SIGSTOP)
		pause(ctx, between(random, 200*time.Millisecond, 4*time.Second))
		p.signal(syscall.SIGCONT)
	})},
	{"freeze and kill", 1, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.signal(syscall.SIGSTOP)
		pause(ctx, between(random, 0, 2*time.Second))
		p.kill()
		p.start()
	})},
	{"end", 4, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.signal(syscall.SIGTERM)
		p.waitExit()
		p.start()
	})},
	{"end twice, with a reload", 2, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.signal(syscall.SIGTERM)
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
			pause(ctx, between(random, 0, 400*time.Millisecond))
			p.signal(s)
		}
		p.waitExit()
		p.start()
	})},
	{"end while it starts", 2, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.kill()
		p.start()
		pause(ctx, between(random, 0, 120*time.Millisecond))
		p.signal(syscall.SIGTERM)
		p.waitExit()
		p.start()
	})},
	{"reload while it starts", 2, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.kill()
		p.start()
		pause(ctx, between(random, 0, 20*time.Millisecond))
		p.signal(syscall.SIGHUP)
		pause(ctx, 300*time.Millisecond)
	})},
	{"reload", 2, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.settings["dial_ms"], p.settings["log_verbosity"] = 200+random.IntN(200), random.IntN(2)
		p.writeSettings(nil)
		p.signal(syscall.SIGHUP)
	})},
	{"reload of a faulty file", 1, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.writeSettings([]byte(`{"id": "a b", "pull_ms": "soon"`))
		p.signal(syscall.SIGHUP)
		pause(ctx, between(random, 50*time.Millisecond, 500*time.Millisecond))
		p.writeSettings(nil)
		p.signal(syscall.SIGHUP)
	})},
	{"lost disk", 1, loseDisk},
	{"cut off", 2, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		f.cutFrom(ctx, p, f.processes, true)
		pause(ctx, between(random, 300*time.Millisecond, 4*time.Second))
		f.cutFrom(ctx, p, f.processes, false)
	})},
	{"one-way cut", 2, oneWayCut},
	{"halves", 1, halves},
	{"delay", 2, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		delay := between(random, 10*time.Millisecond, 250*time.Millisecond)
		f.delay(ctx, p, delay)
		pause(ctx, between(random, 500*time.Millisecond, 4*time.Second))
		f.delay(ctx, p, 0)
	})},
	{"reset", 2, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		f.links.Reset(ctx, p.ip)
	})},
	{"replica leaves", 3, func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		return f.replicas.withEndpoint(random, func(p *endpoint) {
			p.leave(ctx, random.IntN(3) == 0)
			p.start(ctx)
		})
	}},
	{"replica crashes", 2, func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		return f.replicas.withEndpoint(random, func(p *endpoint) {
			p.crash()
			pause(ctx, between(random, 0, 2*time.Second))
			p.start(ctx)
		})
	}},
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// onProcess makes a fault of a random process, skipped if the process has another fault.
func onProcess(
	action func(f *Fleet, ctx context.Context, random *rand.Rand, p *process),
) func(f *Fleet, ctx context.Context, random *rand.Rand) string {
	return func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		p := f.processes[random.IntN(len(f.processes))]
		if !f.acquire(p) {
			return ""
		}
		defer f.release(p)
		p.checkExit()
		action(f, ctx, random, p)
		return p.name
	}
}

func (f *Fleet) acquire(p *process) bool {
	select {
	case f.busy[p] <- struct{}{}:
		return true
	default:
		return false
	}
}

func (f *Fleet) release(p *process) { <-f.busy[p] }

// loseDisk restarts a core with an empty folder. The next disk may be lost only after the
// fleet has had time to recover.
func loseDisk(f *Fleet, ctx context.Context, random *rand.Rand) string {
	select {
	case f.diskLost <- struct{}{}:
	default:
		return ""
	}
	const recoveryTime = 8 * time.Second
	cores := f.withRole(roleCore)
	p := cores[random.IntN(len(cores))]
	if !f.acquire(p) {
		<-f.diskLost
		return ""
	}
	p.kill()
	os.RemoveAll(p.dataFolder())
	pause(ctx, between(random, 0, time.Second))
	p.start()
	f.release(p)
	go func() {
		pause(ctx, recoveryTime)
		<-f.diskLost
	}()
	return p.name
}

func (f *Fleet) cutFrom(ctx context.Context, p *process, others []*process, cut bool) {
	for _, o := range others {
		if o != p {
			f.links.Cut(ctx, p.ip, o.ip, cut)
		}
	}
}

func (f *Fleet) delay(ctx context.Context, p *process, delay time.Duration) {
	for _, o := range f.processes {
		if o != p {
			f.links.Delay(ctx, p.ip, o.ip, delay)
			f.links.Delay(ctx, o.ip, p.ip, delay)
		}
	}
}

func oneWayCut(f *Fleet, ctx context.Context, random *rand.Rand) string {
	p := f.processes[random.IntN(len(f.processes))]
	outgoing := random.IntN(2) == 0
	set := func(cut bool) {
		for _, o := range f.processes {
			switch {
			case o == p:
			case outgoing:
				f.links.CutOneWay(ctx, p.ip, o.ip, cut)
			default:
				f.links.CutOneWay(ctx, o.ip, p.ip, cut)
			}
		}
	}
	set(true)
	pause(ctx, between(random, 300*time.Millisecond, 3*time.Second))
	set(false)
	return p.name
}

// halves partitions the cores and registries; nodes reach both sides.
func halves(f *Fleet, ctx context.Context, random *rand.Rand) string {
	var one, rest []*process
	for _, p := range append(f.withRole(roleCore), f.withRole(roleRegistry)...) {
		if random.IntN(2) == 0 {
			one = append(one, p)
		} else {
			rest = append(rest, p)
		}
	}
	for _, cut := range []bool{true, false} {
		for _, p := range one {
			f.cutFrom(ctx, p, rest, cut)
		}
		if cut {
			pause(ctx, between(random, 500*time.Millisecond, 4*time.Second))
		}
	}
	return "cores and desks"
}

// withEndpoint calls action for a random endpoint, unless that has another fault.
func (r *replicas) withEndpoint(random *rand.Rand, action func(p *endpoint)) string {
	p := r.endpoints[random.IntN(len(r.endpoints))]
	select {
	case p.busy <- struct{}{}:
	default:
		return ""
	}
	action(p)
	<-p.busy
	return p.address
}

func (f *Fleet) kinds() []faultKind {
	kinds := append(append([]faultKind(nil), processFaults...), linkFaults...)
	kinds = append(kinds, operationFaults...)
	if f.DiskBinary != "" {
		kinds = append(kinds, diskFaults...)
	}
	return kinds
}

// injectFaults returns when all faults are over.
func (f *Fleet) injectFaults(ctx context.Context) {
	totalWeight, kinds := 0, f.kinds()
	for _, kind := range kinds {
		totalWeight += kind.weight
	}
	done, begun := make(chan struct{}, 1<<12), 0
	for end := f.now() + f.Length; f.now() < end && ctx.Err() == nil; {
		draw, chosen := f.random.IntN(totalWeight), kinds[0]
		for _, kind := range kinds {
			if chosen = kind; draw < kind.weight {
				break
			}
			draw -= kind.weight
		}
		random := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
		begun++
		go func() {
			f.injectFault(ctx, chosen, random)
			done <- struct{}{}
		}()
		pause(ctx, time.Duration(f.random.ExpFloat64()/f.FaultRate*float64(time.Second)))
	}
	for range begun {
		<-done
	}
	for _, p := range f.processes {
		p.checkExit()
	}
}

// settle lets requesters run after the faults. One replica of each service leaves once the
// fleet has recovered: without faults, no request may reach it after drainTimeout.
func (f *Fleet) settle(ctx context.Context) {
	pause(ctx, contactTimeout+time.Second)
	done := make(chan struct{})
	var leaving []*endpoint
	for i, p := range f.replicas.endpoints {
		if i == 0 || p.service != f.replicas.endpoints[i-1].service {
			leaving = append(leaving, p)
		}
	}
	for i, p := range leaving {
		go func() {
			p.leave(ctx, i == 0)
			p.start(ctx)
			done <- struct{}{}
		}()
	}
	for range leaving {
		<-done
	}
	pause(ctx, f.Settle)
}

func (f *Fleet) injectFault(ctx context.Context, kind faultKind, random *rand.Rand) {
	t := fault{Kind: kind.name, From: f.now()}
	if t.Target = kind.inject(f, ctx, random); t.Target == "" {
		return
	}
	t.To = f.now()
	f.update(func(r *record) { r.Faults = append(r.Faults, t) })
	if f.Logf != nil {
		f.Logf("seed %d: %s", f.Seed, t)
	}
}
