package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// diskFaults are faults of disks and of power. Only cores have fault-injecting disks; for
// other roles a loss of power equals a kill.
var diskFaults = []faultKind{
	{"disk full", 2, onCore(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.setDiskFaults(ctx, "full=true")
		pause(ctx, between(random, 300*time.Millisecond, 4*time.Second))
		p.setDiskFaults(ctx, "")
	})},
	{"disk slow", 2, onCore(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.setDiskFaults(ctx, fmt.Sprintf("slow_ms=%d", 5+random.IntN(75)))
		pause(ctx, between(random, 500*time.Millisecond, 4*time.Second))
		p.setDiskFaults(ctx, "")
	})},
	{"disk stalled", 2, onCore(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.setDiskFaults(ctx, "stalled=true")
		pause(ctx, between(random, 300*time.Millisecond, 5*time.Second))
		p.setDiskFaults(ctx, "")
	})},
	{"power lost", 4, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.losePower()
		pause(ctx, between(random, 0, 1500*time.Millisecond))
		p.start()
	})},
	{"power lost by several", 2, func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		several := slices.Clone(f.processes)
		random.Shuffle(len(several), func(i, j int) { several[i], several[j] = several[j], several[i] })
		return f.cutPower(ctx, random, several[:2+random.IntN(len(several)-2)])
	}},
	{"power lost by all", 2, func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		return f.cutPower(ctx, random, f.processes)
	}},
}

// onCore makes a fault of a random core, skipped if the core has another fault.
func onCore(
	action func(f *Fleet, ctx context.Context, random *rand.Rand, p *process),
) func(f *Fleet, ctx context.Context, random *rand.Rand) string {
	return func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		cores := f.withRole(roleCore)
		p := cores[random.IntN(len(cores))]
		if !f.acquire(p) {
			return ""
		}
		defer f.release(p)
		p.checkExit()
		action(f, ctx, random, p)
		return p.name
	}
}

// acquireTimeout is how long a fault of several processes waits for other faults to end.
const acquireTimeout = 4 * time.Second

// cutPower cuts the power of several processes at once and restarts them in random order.
func (f *Fleet) cutPower(ctx context.Context, random *rand.Rand, targets []*process) string {
	targets = slices.Clone(targets)
	waiting, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var names []string
	for i, p := range targets {
		select {
		case f.busy[p] <- struct{}{}:
		case <-waiting.Done():
			f.releaseAll(targets[:i])
			return ""
		}
		names = append(names, p.name)
	}
	defer f.releaseAll(targets)
	off := make(chan struct{})
	for _, p := range targets {
		p.checkExit()
		go func() {
			p.losePower()
			off <- struct{}{}
		}()
	}
	for range targets {
		<-off
	}
	pause(ctx, between(random, 0, time.Second))
	random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for _, p := range targets {
		p.start()
		pause(ctx, between(random, 0, 150*time.Millisecond))
	}
	return strings.Join(names, " ")
}

func (f *Fleet) releaseAll(targets []*process) {
	for _, p := range targets {
		f.release(p)
	}
}

func (p *process) setDiskFaults(ctx context.Context, query string) {
	p.control(ctx, http.MethodPut, "/faults?"+query)
}

const controlTimeout = time.Second

// control reports whether the control endpoint of a core's disk answered.
func (p *process) control(ctx context.Context, method, path string) bool {
	callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(callCtx, method, "http://"+p.address(diskPort)+path, nil)
	if err != nil {
		return false
	}
	answer, err := p.fleet.client.Do(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return true
}

// losePower ends a process as a loss of power does: a core's disk keeps what was synced and
// a random part of the rest.
func (p *process) losePower() {
	if p.command != nil && p.role == roleCore {
		// There is no answer. A core that does not listen yet has no unsynced data.
		p.control(context.Background(), http.MethodPost, "/power")
	}
	p.kill()
}

var linkFaults = []faultKind{
	{"requesters cut off", 2, onNodeLink(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		f.links.Cut(ctx, outside, p.ip, true)
		pause(ctx, between(random, 300*time.Millisecond, 3*time.Second))
		f.links.Cut(ctx, outside, p.ip, false)
	})},
	{"answers delayed", 2, onNodeLink(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		f.links.Delay(ctx, p.ip, outside, between(random, 5*time.Millisecond, 100*time.Millisecond))
		pause(ctx, between(random, 500*time.Millisecond, 3*time.Second))
		f.links.Delay(ctx, p.ip, outside, 0)
	})},
	{"link to a replica cut", 2, onReplicaLink(func(f *Fleet, ctx context.Context, random *rand.Rand, ip string) {
		both := random.IntN(2) == 0
		cut := func(is bool) {
			f.links.CutOneWay(ctx, ip, outside, is)
			if both {
				f.links.CutOneWay(ctx, outside, ip, is)
			}
		}
		cut(true)
		pause(ctx, between(random, 300*time.Millisecond, 3*time.Second))
		cut(false)
	})},
	{"link to a replica reset", 2, onReplicaLink(func(f *Fleet, ctx context.Context, random *rand.Rand, ip string) {
		f.links.Reset(ctx, ip)
	})},
}

// outside is the source address at the relays of connections by requesters and nodes.
const outside = "127.0.0.1"

func onNodeLink(
	action func(f *Fleet, ctx context.Context, random *rand.Rand, p *process),
) func(f *Fleet, ctx context.Context, random *rand.Rand) string {
	return func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		p := f.anyNode()
		action(f, ctx, random, p)
		return p.name
	}
}

func onReplicaLink(
	action func(f *Fleet, ctx context.Context, random *rand.Rand, ip string),
) func(f *Fleet, ctx context.Context, random *rand.Rand) string {
	return func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		var relayed []*endpoint
		for _, p := range f.replicas.endpoints {
			if p.listenAddress != p.address {
				relayed = append(relayed, p)
			}
		}
		p := relayed[random.IntN(len(relayed))]
		ip, _, _ := strings.Cut(p.address, ":")
		action(f, ctx, random, ip)
		return p.address
	}
}
