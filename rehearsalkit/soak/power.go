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

// diskUpheavals are what befalls disks and their power. Cores keep what must last, so
// theirs fail; other roles lose power as they would be killed.
var diskUpheavals = []upheaval{
	{"disk full", 2, onCore(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.ail(ctx, "full=true")
		pause(ctx, between(random, 300*time.Millisecond, 4*time.Second))
		p.ail(ctx, "")
	})},
	{"disk slow", 2, onCore(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.ail(ctx, fmt.Sprintf("slow_ms=%d", 5+random.IntN(75)))
		pause(ctx, between(random, 500*time.Millisecond, 4*time.Second))
		p.ail(ctx, "")
	})},
	{"disk stalled", 2, onCore(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.ail(ctx, "stalled=true")
		pause(ctx, between(random, 300*time.Millisecond, 5*time.Second))
		p.ail(ctx, "")
	})},
	{"power lost", 4, onProcess(func(f *Fleet, ctx context.Context, random *rand.Rand, p *process) {
		p.powerOff()
		pause(ctx, between(random, 0, 1500*time.Millisecond))
		p.start()
	})},
	{"power lost by several", 2, func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		several := slices.Clone(f.processes)
		random.Shuffle(len(several), func(i, j int) { several[i], several[j] = several[j], several[i] })
		return f.loseTogether(ctx, random, several[:2+random.IntN(len(several)-2)])
	}},
	{"power lost by all", 2, func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		return f.loseTogether(ctx, random, f.processes)
	}},
}

// onCore makes a trouble of what befalls one core that has no other trouble of its own.
func onCore(what func(f *Fleet, ctx context.Context, random *rand.Rand, p *process)) func(f *Fleet, ctx context.Context, random *rand.Rand) string {
	return func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		cores := f.of(roleCore)
		p := cores[random.IntN(len(cores))]
		if !f.take(p) {
			return ""
		}
		defer f.give(p)
		p.check()
		what(f, ctx, random, p)
		return p.name
	}
}

// takenWithin is how long a trouble of several processes waits for those of single ones.
const takenWithin = 4 * time.Second

// loseTogether takes the power from processes at one moment, and gives it back to each
// after a time of its own.
func (f *Fleet) loseTogether(ctx context.Context, random *rand.Rand, whom []*process) string {
	whom = slices.Clone(whom)
	waiting, cancel := context.WithTimeout(ctx, takenWithin)
	defer cancel()
	var names []string
	for i, p := range whom {
		select {
		case f.busy[p] <- struct{}{}:
		case <-waiting.Done():
			f.giveAll(whom[:i])
			return ""
		}
		names = append(names, p.name)
	}
	defer f.giveAll(whom)
	off := make(chan struct{})
	for _, p := range whom {
		p.check()
		go func() {
			p.powerOff()
			off <- struct{}{}
		}()
	}
	for range whom {
		<-off
	}
	pause(ctx, between(random, 0, time.Second))
	random.Shuffle(len(whom), func(i, j int) { whom[i], whom[j] = whom[j], whom[i] })
	for _, p := range whom {
		p.start()
		pause(ctx, between(random, 0, 150*time.Millisecond))
	}
	return strings.Join(names, " ")
}

func (f *Fleet) giveAll(whom []*process) {
	for _, p := range whom {
		f.give(p)
	}
}

// ail tells a core's disk what ails it.
func (p *process) ail(ctx context.Context, query string) {
	p.control(ctx, http.MethodPut, "/faults?"+query)
}

// control calls a core's disk, and reports whether it answered.
func (p *process) control(ctx context.Context, method, path string) bool {
	within, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(within, method, "http://"+p.at(diskPort)+path, nil)
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

// powerOff ends a life as a loss of power does: a core's disk keeps what was synced, and
// the rest by chance.
func (p *process) powerOff() {
	if p.command != nil && p.role == roleCore {
		// The core ends without an answer. One that is not up yet has nothing to lose.
		p.control(context.Background(), http.MethodPost, "/power")
	}
	p.kill()
}

// linkUpheavals are what befalls the links between requesters, nodes and replicas.
var linkUpheavals = []upheaval{
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

// outside is where requesters and nodes connect from, as links see it.
const outside = "127.0.0.1"

// onNodeLink makes a trouble of what befalls the link between requesters and one node.
func onNodeLink(what func(f *Fleet, ctx context.Context, random *rand.Rand, p *process)) func(f *Fleet, ctx context.Context, random *rand.Rand) string {
	return func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		p := f.anyNode()
		what(f, ctx, random, p)
		return p.name
	}
}

// onReplicaLink makes a trouble of what befalls the link between nodes and one replica.
func onReplicaLink(what func(f *Fleet, ctx context.Context, random *rand.Rand, ip string)) func(f *Fleet, ctx context.Context, random *rand.Rand) string {
	return func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		var relayed []*place
		for _, p := range f.replicas.places {
			if p.behind != p.address {
				relayed = append(relayed, p)
			}
		}
		p := relayed[random.IntN(len(relayed))]
		ip, _, _ := strings.Cut(p.address, ":")
		what(f, ctx, random, ip)
		return p.address
	}
}
