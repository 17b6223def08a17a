package capacity

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/ordered"
)

// Restart is what a start of all processes at once costs, after all machines lost power.
type Restart struct {
	Nodes int
	// LeadersAfter is from the return of power until every partition has a leader.
	LeadersAfter time.Duration
	// ReadAfter is from then until the last registry has answered a read with the table in force,
	// OrderAfter until one has accepted a new table.
	ReadAfter, OrderAfter time.Duration
	// ReadyAfter is the longest time from a node's start until it is ready.
	ReadyAfter time.Duration
	// NodeBytes are received by a node, RegistryBytesPerNode sent by a registry, CoreBytesPerCore
	// sent by a core for each core, in the means, until restartSpan after the return of power.
	NodeBytes, RegistryBytesPerNode, CoreBytesPerCore float64
	// Sent has the bytes that all processes sent, by role and kind of message.
	Sent map[string]int64
}

const (
	// restartSpan is measured after the return of power.
	restartSpan = 6 * time.Second
	// powerOff is how long all processes are down; they start within startSpread.
	powerOff    = 1500 * time.Millisecond
	startSpread = 500 * time.Millisecond
	// pollInterval is that of readiness checks, and of reads and orders after a failure.
	pollInterval = 20 * time.Millisecond
	megabit      = 1e6 / 8
)

// RestartPoint returns a deployment of the users' large kind with the given number of nodes: thin
// machines, and cores and replicas in the same proportion.
func RestartPoint(nodes int) Point {
	p := Base
	p.Nodes, p.Registries, p.Zones, p.GroupSize = nodes, 5, 5, 5
	p.Cores = max(p.GroupSize, nodes*36/264)
	p.Replicas = max(2, nodes*117/264)
	p.Models, p.Tenants = 2, 190
	p.Machines = map[string]MachineClass{
		nodeRole:     {Processor: 0.192, Link: 30 * megabit},
		registryRole: {Processor: 0.512, Link: 100 * megabit},
		coreRole:     {Processor: 0.48, Link: 600 * megabit, SyncDuration: 3400 * time.Microsecond},
	}
	return p
}

// MeasureRestart founds a fleet, agrees on a table, takes power from all processes and measures
// their start.
func MeasureRestart(p Point, seed uint64) (Restart, error) {
	if err := p.check(); err != nil {
		return Restart{}, err
	}
	w := newWorld(p, seed)
	if err := w.foundWithTable(); err != nil {
		return Restart{}, err
	}
	w.run(w.now + 5*heartbeatInterval)
	all := [][]*process{w.cores, w.registries, w.nodes}
	for _, list := range all {
		for _, x := range list {
			x.kill()
		}
	}
	w.run(w.now + powerOff)
	r := &restartRun{world: w, from: w.now, ready: map[string]time.Duration{}, read: map[string]time.Duration{}}
	for _, list := range all {
		for _, x := range list {
			x.meter = meter{kinds: map[string]*kind{}}
			r.start(x)
		}
	}
	r.awaitLeaders()
	r.submit()
	w.run(r.from + restartSpan)
	return r.result()
}

// foundWithTable runs until all processes belong to a fleet that has a table.
func (w *world) foundWithTable() error {
	for !w.settled() {
		if w.now > time.Minute {
			return errors.New("the fleet was not founded within a minute")
		}
		w.run(w.now + 100*time.Millisecond)
	}
	for accepted := false; !accepted; {
		w.applyTable(func(ok bool) { accepted = ok })
		w.run(w.now + time.Second)
		if w.now > time.Minute {
			return errors.New("no table was agreed within a minute")
		}
	}
	return nil
}

// restartRun observes one start of all processes. Times are of the world's clock.
type restartRun struct {
	world *world
	from  time.Duration
	led   time.Duration
	// ready and read are when a node was ready after its start and a registry first answered a read.
	ready, read map[string]time.Duration
	accepted    time.Duration
}

func (r *restartRun) start(x *process) {
	r.world.after(r.world.between(0, startSpread), func() {
		x.boot()
		switch {
		case x.node != nil:
			r.awaitReady(x, r.world.now)
		case x.registry != nil:
			r.awaitRead(x)
		}
	})
}

func (r *restartRun) awaitReady(x *process, startedAt time.Duration) {
	w := r.world
	if x.node.Ready(w.now) && x.node.TableNumber() >= w.table {
		r.ready[x.id] = w.now - startedAt
		return
	}
	w.after(pollInterval, func() { r.awaitReady(x, startedAt) })
}

// awaitRead repeats a read at one registry until it is answered, as an operator would.
func (r *restartRun) awaitRead(x *process) {
	w := r.world
	w.tickets++
	x.pendingCalls[w.tickets] = func(body any) {
		if table, ok := body.(core.CurrentTable); ok && table.Number > 0 {
			r.read[x.id] = w.now
			return
		}
		w.after(pollInterval, func() { r.awaitRead(x) })
	}
	x.handleRegistryOutput(timed(x, func() registry.Output { return x.registry.Read(w.now, w.tickets) }))
}

func (r *restartRun) awaitLeaders() {
	if r.world.allLed() {
		r.led = r.world.now
		return
	}
	r.world.after(pollInterval, r.awaitLeaders)
}

// submit sends an order, again until it is accepted.
func (r *restartRun) submit() {
	w := r.world
	w.applyTable(func(ok bool) {
		if ok {
			r.accepted = w.now
			return
		}
		w.after(pollInterval, r.submit)
	})
}

// allLed reports whether every partition has a leader.
func (w *world) allLed() bool {
	led := map[int]bool{}
	for _, c := range w.cores {
		if c.alive {
			for _, n := range c.core.LeadingPartitions(w.now) {
				led[n] = true
			}
		}
	}
	return len(led) == 1+2*w.point.Cores
}

func (r *restartRun) result() (Restart, error) {
	w := r.world
	if r.led == 0 || r.accepted == 0 || len(r.read) < len(w.registries) || len(r.ready) < len(w.nodes) {
		return Restart{}, errors.Newf("after %v: leaders at %v, an order accepted at %v, %d of %d registries answer, %d of %d nodes are ready",
			restartSpan, r.led, r.accepted, len(r.read), len(w.registries), len(r.ready), len(w.nodes))
	}
	result := Restart{
		Nodes:        len(w.nodes),
		LeadersAfter: r.led - r.from,
		OrderAfter:   max(r.accepted-r.led, 0),
		Sent:         map[string]int64{},
	}
	for _, at := range r.read {
		result.ReadAfter = max(result.ReadAfter, at-r.led)
	}
	for _, after := range r.ready {
		result.ReadyAfter = max(result.ReadyAfter, after)
	}
	nodes, registries, cores := float64(len(w.nodes)), float64(len(w.registries)), float64(len(w.cores))
	for _, x := range w.nodes {
		result.NodeBytes += float64(x.meter.ReceivedBytes) / nodes
		result.addSent(nodeRole, x)
	}
	for _, x := range w.registries {
		result.RegistryBytesPerNode += float64(x.meter.SentBytes) / registries / nodes
		result.addSent(registryRole, x)
	}
	for _, x := range w.cores {
		result.CoreBytesPerCore += float64(x.meter.SentBytes) / cores / cores
		result.addSent(coreRole, x)
	}
	return result, nil
}

func (r *Restart) addSent(role string, x *process) {
	for name, k := range x.meter.kinds {
		r.Sent[role+" "+name] += k.bytes
	}
}

// Write prints the result, with the kinds of messages that took most bytes.
func (r Restart) Write(to io.Writer) {
	fmt.Fprintf(to, "%d nodes: leaders after %v, then reads after %v and an order after %v; nodes ready %v after their start\n",
		r.Nodes, r.LeadersAfter, r.ReadAfter, r.OrderAfter, r.ReadyAfter)
	fmt.Fprintf(to, "  a node received %.0f bytes, a registry sent %.0f for each node, a core %.0f for each core\n",
		r.NodeBytes, r.RegistryBytesPerNode, r.CoreBytesPerCore)
	for _, name := range ordered.Keys(r.Sent) {
		if bytes := r.Sent[name]; bytes >= printedBytes {
			fmt.Fprintf(to, "  %-60s %10.1f MB\n", name, float64(bytes)/1e6)
		}
	}
}

// printedBytes is the least amount of one kind of message that is printed.
const printedBytes = 1_000_000

// RestartCommand is the restart subcommand.
type RestartCommand struct {
	Nodes []int  `help:"Numbers of nodes to measure; cores and replicas are in proportion." default:"30,100,264"`
	Seed  uint64 `help:"First seed." default:"1"`
	Seeds int    `help:"Runs of each size." default:"1"`
}

// Run measures and prints each size.
func (c *RestartCommand) Run() error {
	runtime.GOMAXPROCS(min(2, runtime.GOMAXPROCS(0)))
	for _, nodes := range c.Nodes {
		for i := range c.Seeds {
			result, err := MeasureRestart(RestartPoint(nodes), c.Seed+uint64(i))
			if err != nil {
				return errors.Wrapf(err, "%d nodes, seed %d", nodes, c.Seed+uint64(i))
			}
			result.Write(os.Stdout)
		}
	}
	return nil
}
