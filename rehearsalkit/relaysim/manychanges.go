package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/message"
)

// States of the disk with which a machine comes back.
const (
	diskOld   = "an old disk"
	diskTorn  = "a torn disk"
	diskEmpty = "an empty disk"
)

var diskStates = []string{diskOld, diskTorn, diskEmpty}

// Bounds of the scenario manychanges.
const (
	// tornLost is how long before the end those writes are that a torn disk lacks.
	tornLost = 60 * time.Millisecond
	// logFactor and smallestSlot are as in the core's process: the log is replaced
	// by a new slot once it is so many times as long as that.
	logFactor    = 4
	smallestSlot = 1 << 20
	// caughtUpStates and caughtUpMore bound the bytes that a machine is sent until
	// it has caught up: so many times what cores hold, and what is sent anyway.
	caughtUpStates = 4
	caughtUpMore   = 1 << 20
	// stateGrowth and memoryGrowth bound what one more change may leave behind.
	stateGrowth  = 256
	memoryGrowth = 1024
	// changeSlowest is how long a change may take on average.
	changeSlowest = 200 * time.Millisecond
	// sampleEvery is after how many changes sizes are noted, mostly.
	sampleEvery = 300
)

func manyChangesParams(seed uint64) Params {
	p := Defaults(seed)
	p.Cores, p.Desks, p.Nodes = 3, 3, 3
	p.Faults, p.Closing = false, ""
	return p
}

// manyChanges hands thousands of tables over while machines are away for some of
// them.
type manyChanges struct {
	world    *World
	findings *Findings
	book     *orderBook
	health   *health
	state    string
	over     bool
	// sampleEvery is after how many changes sizes are noted.
	sampleEvery int
	logs        map[*process]*logMeter
	samples     []sizes
	// images are what a core's disk held a moment before.
	images map[*process]core.Stored
	// received counts the bytes sent to each process.
	received map[string]int64
}

// logMeter is how long a core's log is, by the rule of the core's process.
type logMeter struct{ size, slot, longest int64 }

// sizes are what the largest machine of each kind holds after some changes.
type sizes struct {
	changes                       int
	log, state, entries           int64
	coreMemory, deskMemory, nodes int64
}

func playManyChanges(w *World) *Findings {
	return newManyChanges(w).play([]int{10, 200, 2000}, 2400)
}

func newManyChanges(w *World) *manyChanges {
	f := newFindings(w)
	b := newOrderBook(w, f)
	m := &manyChanges{world: w, findings: f, book: b, health: w.watchHealth(b), state: diskStates[w.Params.Seed%uint64(len(diskStates))], sampleEvery: sampleEvery,
		logs: map[*process]*logMeter{}, images: map[*process]core.Stored{}, received: map[string]int64{}}
	told := w.watch.sent
	w.watch.sent = func(from *process, to string, body any) {
		told(from, to, body)
		m.received[to] += int64(sizeOf(body))
	}
	w.watch.synced = m.synced
	return m
}

// play hands a number of tables over. One machine after the other is away for so
// many of them as is told.
func (m *manyChanges) play(away []int, changes int) *Findings {
	w := m.world
	w.Record.End = time.Hour
	w.boot()
	w.after(time.Second, m.book.found)
	w.run(starting)
	m.hand()
	m.watchLeader()
	for i, n := range away {
		m.awayFor(w.stores[i], w.nodes[i], n)
	}
	m.until(changes)
	m.over = true
	w.Pass(time.Second)
	m.judgeSizes()
	w.finish(m.book)
	return m.findings
}

// hand hands one table over after the other, at desks that run.
func (m *manyChanges) hand() {
	w := m.world
	if m.over {
		return
	}
	m.book.read(w.liveDesk(), func(t core.CurrentTable, ok bool) {
		if !ok {
			w.after(50*time.Millisecond, m.hand)
			return
		}
		m.insist(&order{Table: w.table(t.Number, t.Number+1, 0)})
	})
}

func (m *manyChanges) insist(o *order) {
	m.book.send(o, m.world.liveDesk(), func(h desk.OrderResult) {
		if h.Uncertain {
			m.insist(o)
			return
		}
		if n := len(m.book.acked); n%m.sampleEvery == 0 {
			m.sample(n)
		}
		m.hand()
	})
}

// liveDesk is a desk that runs.
func (w *World) liveDesk() *process {
	for {
		if at := w.anyDesk(); at.alive {
			return at
		}
	}
}

// until lets time pass until so many tables were acknowledged.
func (m *manyChanges) until(changes int) {
	w := m.world
	stuck := w.now + changeSlowest*time.Duration(20+changes-len(m.book.acked))
	for len(m.book.acked) < changes && w.now < stuck {
		w.Pass(10 * time.Millisecond)
	}
	if len(m.book.acked) < changes {
		m.findings.breach(RuleWholeAgain, "only %d of %d orders were acknowledged by %v", len(m.book.acked), changes, w.now)
	}
}

// awayFor takes a machine and a node away for a number of changes, and wants
// them to catch up in time and with bounded bytes.
func (m *manyChanges) awayFor(s *store, node *process, changes int) {
	w := m.world
	name := fmt.Sprintf("away for %d changes, %s", changes, m.state)
	m.images[s.core] = copyOf(s.core.disk.stored)
	w.Pass(tornLost)
	end := w.trouble(Everyone)
	w.logf("%s goes: %s", s.core.id, name)
	processes := append(s.processes(), node)
	for _, p := range processes {
		p.powerOff()
	}
	switch m.state {
	case diskTorn:
		s.core.disk.stored = m.images[s.core]
	case diskEmpty:
		for _, p := range s.processes() {
			p.wipe()
		}
	}
	m.until(len(m.book.acked) + changes)
	before := int64(0)
	for _, p := range processes {
		before -= m.received[p.address]
		p.boot()
	}
	back, whole := w.now, time.Duration(-1)
	m.health.untilWhole(back, func(took time.Duration) {
		whole = took
		m.judgeBytes(name, processes, before)
	})
	w.Pass(catchUp)
	if whole < 0 {
		m.findings.breach(RuleWholeAgain, "%s: %v after %s was back at %v: %s", name, catchUp, s.core.id, back, m.health.lacks())
	} else {
		m.findings.span("caught up: "+name, whole)
	}
	end()
}

func copyOf(stored core.Stored) core.Stored {
	var image core.Stored
	image.CopyFrom(stored)
	return image
}

// judgeBytes bounds what machines were sent until they had caught up.
func (m *manyChanges) judgeBytes(name string, processes []*process, sum int64) {
	for _, p := range processes {
		sum += m.received[p.address]
	}
	m.findings.Counts["bytes to catch up: "+name] += sum
	if bound := caughtUpStates*m.size(0).state + caughtUpMore; sum > bound {
		m.findings.breach(RuleBytes, "%s: %d bytes were sent until it had caught up, more than %d", name, sum, bound)
	}
}

// watchLeader wants whoever owns the configuration to have all that was
// acknowledged.
func (m *manyChanges) watchLeader() {
	w := m.world
	if m.over {
		return
	}
	w.after(20*time.Millisecond, m.watchLeader)
	owner := w.coreOf(core.ConfigurationPartition)
	if owner == nil || len(m.book.acked) == 0 {
		return
	}
	var has core.CurrentTable
	raw := owner.core.core.Partition(core.ConfigurationPartition).State().Entries[core.TableKey].Value
	if message.Unmarshal(raw, &has) == nil && has.Number < m.book.newest {
		m.findings.breach(RuleBehind, "%s owns the configuration at %v with table %d, and %d had been told", owner.core.id, w.now, has.Number, m.book.newest)
	}
}

// synced keeps count of a core's log.
func (m *manyChanges) synced(p *process, batches [][]core.Change) {
	const head = 12
	log := m.logs[p]
	if log == nil {
		log = &logMeter{slot: smallestSlot}
		m.logs[p] = log
	}
	var changes []core.Change
	for _, batch := range batches {
		changes = append(changes, batch...)
	}
	log.size += head + int64(len(message.Marshal(changes)))
	log.longest = max(log.longest, log.size)
	if log.size > logFactor*log.slot {
		log.size, log.slot = 0, max(smallestSlot, int64(len(message.Marshal(p.disk.stored))))
	}
}

// size measures the largest machines.
func (m *manyChanges) size(changes int) sizes {
	w := m.world
	now := sizes{changes: changes}
	for _, log := range m.logs {
		now.log = max(now.log, log.longest)
	}
	for _, s := range w.present() {
		now.state = max(now.state, int64(len(message.Marshal(s.core.disk.stored))))
		entries := 0
		for _, c := range s.core.disk.stored.Replicas {
			entries += len(c.Entries)
		}
		now.entries = max(now.entries, int64(entries))
	}
	return now
}

// sample notes the sizes of all after a number of changes.
func (m *manyChanges) sample(changes int) {
	now := m.size(changes)
	for _, p := range m.world.processes {
		if !p.alive {
			continue
		}
		switch {
		case p.disk != nil:
			now.coreMemory = max(now.coreMemory, footprint(p.core))
		case p.isDesk:
			now.deskMemory = max(now.deskMemory, footprint(p.desk))
		case p.node != nil:
			now.nodes = max(now.nodes, footprint(p.node))
		}
	}
	m.samples = append(m.samples, now)
}

// judgeSizes bounds how sizes grow with the number of changes, and tabulates
// them.
func (m *manyChanges) judgeSizes() {
	f := m.findings
	f.Lines = append(f.Lines, "", fmt.Sprintf("seed %d, %s", f.Seed, m.state), "",
		"| changes | longest log, bytes | state, bytes | entries | core memory | desk memory | node memory |", "|---|---|---|---|---|---|---|")
	for _, s := range m.samples {
		f.Lines = append(f.Lines, fmt.Sprintf("| %d | %d | %d | %d | %d | %d | %d |", s.changes, s.log, s.state, s.entries, s.coreMemory, s.deskMemory, s.nodes))
	}
	for i, s := range m.samples {
		if i == 0 {
			continue
		}
		first := m.samples[0]
		more := int64(s.changes - first.changes)
		bounds := []struct {
			what            string
			value, from, by int64
		}{
			{"the state", s.state, first.state, stateGrowth},
			{"a core's memory", s.coreMemory, first.coreMemory, memoryGrowth},
			{"a desk's memory", s.deskMemory, first.deskMemory, memoryGrowth},
			{"a node's memory", s.nodes, first.nodes, memoryGrowth},
		}
		for _, b := range bounds {
			if b.value > 2*b.from+b.by*more {
				f.breach(RuleGrowth, "%s has %d bytes after %d changes, and had %d after %d", b.what, b.value, s.changes, b.from, first.changes)
			}
		}
		if most := logFactor*max(smallestSlot, s.state) + s.state; s.log > most {
			f.breach(RuleGrowth, "a log has %d bytes after %d changes, more than %d", s.log, s.changes, most)
		}
	}
}
