package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/message"
)

// States of the disk of a machine that returns.
const (
	diskOld   = "an old disk"
	diskTorn  = "a torn disk"
	diskEmpty = "an empty disk"
)

var diskStates = []string{diskOld, diskTorn, diskEmpty}

const (
	// tornWindow is the interval before the stop whose writes a torn disk lacks.
	tornWindow = 60 * time.Millisecond
	// A core's process writes a new slot (its whole state) and empties the log once the log is
	// longer than logFactor times the slot, which counts as at least smallestSlot bytes.
	logFactor    = 4
	smallestSlot = 1 << 20
	// Catching up may take catchUpStates times a core's state, and catchUpExtra bytes for
	// regular traffic.
	catchUpStates = 4
	catchUpExtra  = 1 << 20
	// stateGrowth and memoryGrowth bound the bytes that each further change may add.
	stateGrowth  = 256
	memoryGrowth = 1024
	// maxChangeTime bounds the average time per change.
	maxChangeTime = 200 * time.Millisecond
	// sampleEvery is the default number of changes between two samples.
	sampleEvery = 300
)

func manyChangesParams(seed uint64) Params {
	p := Defaults(seed)
	p.Cores, p.Registries, p.Nodes = 3, 3, 3
	p.Faults, p.Closing = false, ""
	return p
}

// manyChanges applies thousands of tables while single machines are away.
type manyChanges struct {
	world       *World
	findings    *Findings
	history     *orderHistory
	health      *health
	diskState   string
	stopped     bool
	sampleEvery int
	logs        map[*process]*logMeter
	samples     []sizes
	// images are earlier contents of cores' disks.
	images map[*process]core.Stored
	// received counts bytes by address.
	received map[string]int64
}

// logMeter tracks the length of a core's log as the core's process would keep it.
type logMeter struct{ size, slot, longest int64 }

// sizes are those of the largest machine of each kind after a number of changes, in bytes except
// for changes and entries.
type sizes struct {
	changes                                int
	log, state, entries                    int64
	coreMemory, registryMemory, nodeMemory int64
}

func playManyChanges(w *World) *Findings {
	return newManyChanges(w).play([]int{10, 200, 2000}, 2400)
}

func newManyChanges(w *World) *manyChanges {
	findings := newFindings(w)
	history := newOrderHistory(w, findings)
	m := &manyChanges{
		world:       w,
		findings:    findings,
		history:     history,
		health:      w.watchHealth(history),
		diskState:   diskStates[w.Params.Seed%uint64(len(diskStates))],
		sampleEvery: sampleEvery,
		logs:        map[*process]*logMeter{},
		images:      map[*process]core.Stored{},
		received:    map[string]int64{},
	}
	sendObserver := w.observers.sent
	w.observers.sent = func(from *process, to string, body any) {
		sendObserver(from, to, body)
		m.received[to] += int64(encodedSize(body))
	}
	w.observers.synced = m.synced
	return m
}

// play applies tables up to the total. For each element of away one machine misses that many
// changes.
func (m *manyChanges) play(away []int, changes int) *Findings {
	w := m.world
	w.Record.End = time.Hour
	w.bootAll()
	w.after(time.Second, m.history.applyFirstTable)
	w.runUntil(startupTime)
	m.applyNext()
	m.watchLeader()
	for i, n := range away {
		m.awayFor(w.stores[i], w.nodes[i], n)
	}
	m.awaitChanges(changes)
	m.stopped = true
	w.Advance(time.Second)
	m.judgeSizes()
	w.finishScenario(m.history)
	return m.findings
}

func (m *manyChanges) applyNext() {
	w := m.world
	if m.stopped {
		return
	}
	m.history.read(w.liveRegistry(), func(t core.CurrentTable, ok bool) {
		if !ok {
			w.after(50*time.Millisecond, m.applyNext)
			return
		}
		m.applyUntilAnswered(&order{Table: w.newTable(t.Number, t.Number+1, 0)})
	})
}

func (m *manyChanges) applyUntilAnswered(o *order) {
	m.history.send(o, m.world.liveRegistry(), func(result registry.OrderResult) {
		if result.Uncertain {
			m.applyUntilAnswered(o)
			return
		}
		if n := len(m.history.acked); n%m.sampleEvery == 0 {
			m.sample(n)
		}
		m.applyNext()
	})
}

func (w *World) liveRegistry() *process {
	for {
		if at := w.anyRegistry(); at.alive {
			return at
		}
	}
}

func (m *manyChanges) awaitChanges(changes int) {
	w := m.world
	deadline := w.now + maxChangeTime*time.Duration(20+changes-len(m.history.acked))
	for len(m.history.acked) < changes && w.now < deadline {
		w.Advance(10 * time.Millisecond)
	}
	if len(m.history.acked) < changes {
		m.findings.breach(RuleFleetRecovery, "only %d of %d orders were acknowledged by %v", len(m.history.acked), changes, w.now)
	}
}

// awayFor stops a store and a node for a number of changes, and checks that they catch up in time
// and with bounded traffic.
func (m *manyChanges) awayFor(s *store, node *process, changes int) {
	w := m.world
	name := fmt.Sprintf("away for %d changes, %s", changes, m.diskState)
	m.images[s.core] = copyStored(s.core.disk.stored)
	w.Advance(tornWindow)
	end := w.beginDisruption(AllMachines)
	w.logf("%s is stopped: %s", s.core.id, name)
	processes := append(s.processes(), node)
	for _, p := range processes {
		p.powerOff()
	}
	switch m.diskState {
	case diskTorn:
		s.core.disk.stored = m.images[s.core]
	case diskEmpty:
		for _, p := range s.processes() {
			p.wipe()
		}
	}
	m.awaitChanges(len(m.history.acked) + changes)
	before := int64(0)
	for _, p := range processes {
		before -= m.received[p.address]
		p.boot()
	}
	back, recovery := w.now, time.Duration(-1)
	m.health.awaitHealthy(back, func(took time.Duration) {
		recovery = took
		m.judgeBytes(name, processes, before)
	})
	w.Advance(catchUpTime)
	if recovery < 0 {
		m.findings.breach(RuleFleetRecovery, "%s: %v after %s was back at %v: %s", name, catchUpTime, s.core.id, back, m.health.problem())
	} else {
		m.findings.recordDuration("caught up: "+name, recovery)
	}
	end()
}

func copyStored(stored core.Stored) core.Stored {
	var image core.Stored
	image.CopyFrom(stored)
	return image
}

func (m *manyChanges) judgeBytes(name string, processes []*process, sum int64) {
	for _, p := range processes {
		sum += m.received[p.address]
	}
	m.findings.Counts["bytes to catch up: "+name] += sum
	if bound := catchUpStates*m.size(0).state + catchUpExtra; sum > bound {
		m.findings.breach(RuleCatchUpBytes, "%s: %d bytes were sent until it had caught up, more than %d", name, sum, bound)
	}
}

func (m *manyChanges) watchLeader() {
	w := m.world
	if m.stopped {
		return
	}
	w.after(20*time.Millisecond, m.watchLeader)
	leader := w.leaderOf(core.ConfigurationPartition)
	if leader == nil || len(m.history.acked) == 0 {
		return
	}
	var held core.CurrentTable
	raw := leader.core.core.Partition(core.ConfigurationPartition).State().Entries[core.TableKey].Value
	if message.Unmarshal(raw, &held) == nil && held.Number < m.history.newestSeen {
		m.findings.breach(RuleLeaderCurrent,
			"%s owns the configuration at %v with table %d, and %d had been told",
			leader.core.id, w.now, held.Number, m.history.newestSeen)
	}
}

func (m *manyChanges) synced(p *process, batches [][]core.Change) {
	const headerBytes = 12
	log := m.logs[p]
	if log == nil {
		log = &logMeter{slot: smallestSlot}
		m.logs[p] = log
	}
	var changes []core.Change
	for _, batch := range batches {
		changes = append(changes, batch...)
	}
	log.size += headerBytes + int64(len(message.Marshal(changes)))
	log.longest = max(log.longest, log.size)
	if log.size > logFactor*log.slot {
		log.size, log.slot = 0, max(smallestSlot, int64(len(message.Marshal(p.disk.stored))))
	}
}

func (m *manyChanges) size(changes int) sizes {
	w := m.world
	current := sizes{changes: changes}
	for _, log := range m.logs {
		current.log = max(current.log, log.longest)
	}
	for _, s := range w.presentStores() {
		current.state = max(current.state, int64(len(message.Marshal(s.core.disk.stored))))
		entries := 0
		for _, c := range s.core.disk.stored.Replicas {
			entries += len(c.Entries)
		}
		current.entries = max(current.entries, int64(entries))
	}
	return current
}

func (m *manyChanges) sample(changes int) {
	current := m.size(changes)
	for _, p := range m.world.processes {
		if !p.alive {
			continue
		}
		switch {
		case p.disk != nil:
			current.coreMemory = max(current.coreMemory, footprint(p.core))
		case p.isRegistry:
			current.registryMemory = max(current.registryMemory, footprint(p.registry))
		case p.node != nil:
			current.nodeMemory = max(current.nodeMemory, footprint(p.node))
		}
	}
	m.samples = append(m.samples, current)
}

func (m *manyChanges) judgeSizes() {
	f := m.findings
	f.Lines = append(f.Lines, "", fmt.Sprintf("seed %d, %s", f.Seed, m.diskState), "",
		"| changes | longest log, bytes | state, bytes | entries | core memory | desk memory | node memory |",
		"|---|---|---|---|---|---|---|")
	for _, s := range m.samples {
		f.Lines = append(f.Lines, fmt.Sprintf("| %d | %d | %d | %d | %d | %d | %d |",
			s.changes, s.log, s.state, s.entries, s.coreMemory, s.registryMemory, s.nodeMemory))
	}
	for i, s := range m.samples {
		if i == 0 {
			continue
		}
		first := m.samples[0]
		added := int64(s.changes - first.changes)
		bounds := []struct {
			what            string
			value, from, by int64
		}{
			{"the state", s.state, first.state, stateGrowth},
			{"a core's memory", s.coreMemory, first.coreMemory, memoryGrowth},
			{"a desk's memory", s.registryMemory, first.registryMemory, memoryGrowth},
			{"a node's memory", s.nodeMemory, first.nodeMemory, memoryGrowth},
		}
		for _, b := range bounds {
			if b.value > 2*b.from+b.by*added {
				f.breach(RuleGrowth, "%s has %d bytes after %d changes, and had %d after %d", b.what, b.value, s.changes, b.from, first.changes)
			}
		}
		if limit := logFactor*max(smallestSlot, s.state) + s.state; s.log > limit {
			f.breach(RuleGrowth, "a log has %d bytes after %d changes, more than %d", s.log, s.changes, limit)
		}
	}
}
