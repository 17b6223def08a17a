package capacity

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/rehearsalkit/eventqueue"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
)

// Failures of a run. They start after a third of the measured time and last a fifth of it. Wipe is
// a core without its disk, Split a network partition between regions.
const (
	None     = "none"
	Core     = "core"
	Wipe     = "wipe"
	Node     = "node"
	Registry = "desk"
	Zone     = "zone"
	Split    = "split"
)

// Span is the length of a run in simulated time. Warm and one complete program precede the
// measurement.
type Span struct {
	Warm, Measured time.Duration
}

// Figure is one measure of one role, as a mean over its processes.
type Figure struct {
	Role, Measure string
	Value         float64
	// MachineDependent marks CPU times and heap sizes, which do not repeat for a seed.
	MachineDependent bool
}

// Measure returns the figures of each role at a point.
func Measure(p Point, seed uint64, span Span, failure string) ([]Figure, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	if !slices.Contains([]string{None, Core, Wipe, Node, Registry, Zone, Split}, failure) {
		return nil, errors.Newf("no failure %q", failure)
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	w := newWorld(p, seed)
	if err := w.foundWithTable(); err != nil {
		return nil, err
	}
	w.run(w.now + 2*heartbeatInterval)
	w.startPrograms()
	w.run(w.now + span.Warm + time.Duration(p.Turns)*p.thinkTime())
	if p.Changes > 0 {
		interval := time.Hour / time.Duration(p.Changes)
		var next func()
		next = func() {
			w.applyTable(func(bool) {})
			w.after(interval, next)
		}
		w.after(interval/2, next)
	}
	for _, list := range [][]*process{w.cores, w.registries, w.nodes} {
		for _, x := range list {
			x.meter = meter{kinds: map[string]*kind{}}
		}
	}
	clear(w.counts)
	w.maxTableLag = 0
	began := w.now
	if failure != None {
		w.after(span.Measured/3, func() { w.fail(failure, span.Measured/5) })
	}
	w.run(began + span.Measured)
	return w.figures(span.Measured), nil
}

func (w *world) settled() bool {
	for _, c := range w.cores {
		if c.core == nil || !c.core.Founded() {
			return false
		}
	}
	for _, d := range w.registries {
		if d.registry == nil || !d.registry.Ready() {
			return false
		}
	}
	return true
}

func (w *world) fail(failure string, length time.Duration) {
	var affected []*process
	switch failure {
	case Core, Wipe:
		affected = w.cores[1:2]
	case Node:
		affected = w.nodes[:1]
	case Registry:
		affected = w.registries[1:2]
	case Zone:
		for _, list := range [][]*process{w.cores, w.registries, w.nodes} {
			for _, x := range list {
				if x.zone == 1%w.point.Zones {
					affected = append(affected, x)
				}
			}
		}
	case Split:
		w.split = true
		w.after(length, func() { w.split = false })
	}
	for _, x := range affected {
		x.kill()
		if failure == Wipe {
			x.stored.Replicas, x.stored.Founding.Partitions = nil, 0
			x.stored.Incarnation = x.id + "-anew"
		}
		w.after(length, x.boot)
	}
}

func (w *world) figures(length time.Duration) []Figure {
	var list []Figure
	add := func(role, measure string, value float64, machineDependent bool) {
		list = append(list, Figure{Role: role, Measure: measure, Value: value, MachineDependent: machineDependent})
	}
	seconds := length.Seconds()
	for _, name := range ordered.Keys(w.counts) {
		add("requester", name+"/s", float64(w.counts[name])/seconds, false)
	}
	add("requester", "change in force after ms", float64(w.maxTableLag.Milliseconds()), false)
	roles := []struct {
		name string
		list []*process
	}{{"node", w.nodes}, {"desk", w.registries}, {"core", w.cores}}
	for _, role := range roles {
		var sum meter
		kinds := map[string]kind{}
		var maxBytes int64
		var maxCPU time.Duration
		for _, x := range role.list {
			m := x.meter
			sum.Sent += m.Sent
			sum.Received += m.Received
			sum.SentBytes += m.SentBytes
			sum.ReceivedBytes += m.ReceivedBytes
			sum.Syncs += m.Syncs
			sum.Written += m.Written
			sum.Step += m.Step
			sum.Pack += m.Pack
			maxBytes = max(maxBytes, m.SentBytes+m.ReceivedBytes)
			maxCPU = max(maxCPU, m.Step+m.Pack)
			for name, k := range m.kinds {
				all := kinds[name]
				all.count += k.count
				all.bytes += k.bytes
				kinds[name] = all
			}
		}
		perProcess := 1 / seconds / float64(len(role.list))
		add(role.name, "messages sent/s", float64(sum.Sent)*perProcess, false)
		add(role.name, "messages received/s", float64(sum.Received)*perProcess, false)
		add(role.name, "bytes sent/s", float64(sum.SentBytes)*perProcess, false)
		add(role.name, "bytes received/s", float64(sum.ReceivedBytes)*perProcess, false)
		add(role.name, "bytes of the busiest/s", float64(maxBytes)/seconds, false)
		if role.name == "core" {
			add(role.name, "syncs/s", float64(sum.Syncs)*perProcess, false)
			add(role.name, "bytes written/s", float64(sum.Written)*perProcess, false)
			var stored int64
			for _, c := range w.cores {
				stored += int64(len(message.Marshal(c.stored)))
			}
			add(role.name, "bytes stored", float64(stored)/float64(len(w.cores)), false)
		}
		add(role.name, "step us/s", float64(sum.Step.Nanoseconds())/1e3*perProcess, true)
		add(role.name, "packing us/s", float64(sum.Pack.Nanoseconds())/1e3*perProcess, true)
		add(role.name, "processor of the busiest us/s", float64(maxCPU.Nanoseconds())/1e3/seconds, true)
		for _, name := range ordered.Keys(kinds) {
			add(role.name, name+" n/s", float64(kinds[name].count)*perProcess, false)
			add(role.name, name+" bytes/s", float64(kinds[name].bytes)*perProcess, false)
		}
	}
	var cache int64
	for _, n := range w.nodes {
		cache += n.node.Status(w.now)["cache_bytes"]
	}
	add("node", "cache bytes", float64(cache)/float64(len(w.nodes)), false)
	// The heap of a role is the memory freed when its processes are dropped.
	w.events, w.programs = eventqueue.Queue{}, nil
	for _, n := range w.nodes {
		n.requests = nil
	}
	last := heapNow()
	for _, role := range roles {
		for _, x := range role.list {
			x.node, x.registry, x.core = nil, nil, nil
			if role.name != "core" {
				x.pendingCalls = nil
			}
		}
		now := heapNow()
		add(role.name, "heap bytes", float64(last-now)/float64(len(role.list)), true)
		last = now
	}
	return list
}

// heapNow collects garbage first.
func heapNow() int64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Format formats figures as a table.
func Format(list []Figure) string {
	var b strings.Builder
	for _, f := range list {
		fmt.Fprintf(&b, "%-10s %-52s %14.1f\n", f.Role, f.Measure, f.Value)
	}
	return b.String()
}
