package modelcheck

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// judge looks for a broken property in a state that was just reached. What
// depends on the disks alone is left to judgeDisks.
func (w *World) judge() {
	var holders []string
	for _, p := range w.processes {
		if p.owns(w.now) {
			holders = append(holders, p.seat)
		}
	}
	if len(holders) > 1 {
		w.breaks(violation(OneLease, "%s hold it at %v", strings.Join(holders, " and "), w.now))
	}
	for _, p := range w.processes {
		if p.machine != nil && !w.frozen(p.seat) {
			w.read(p)
		}
	}
}

// read judges what a read at a process would return now, if it would at once.
// Whether the lease still holds is asked by the machine, not here.
func (w *World) read(p *process) {
	if _, serving := p.machine.CommittedVersion(); !serving {
		return
	}
	known := &p.readable[0]
	if p.owns(w.now) {
		known = &p.readable[1]
	}
	if *known == nil {
		r := served(cloneMachine(p.machine), w.now+p.skew)
		*known = &r
	}
	if (*known).owned {
		w.judgeRead((*known).value, "read at "+p.seat)
	}
}

func (w *World) judgeRead(value Register, how string) {
	if value.Number < w.book.latest {
		w.breaks(violation(Fresh, "%d was acknowledged and %d is %s", w.book.latest, value.Number, how))
		return
	}
	for _, past := range value.Past {
		var broken *Violation
		w.book, broken = w.book.see(past.Number, past.Value, how)
		w.breaks(broken)
	}
}

// answerRead runs a read whose process looked at its clock when the read came,
// and froze then.
func (w *World) answerRead(p *process) {
	w.reading.Asked = true
	w.take(p, p.machine.Propose(w.reading.Sampled, readTicket, readRegister{}))
}

// readAnswered judges a read that ends. What counts is what was acknowledged
// before it came.
func (w *World) readAnswered(p *process, r partition.Result) {
	latest := w.reading.Latest
	if w.scenario.LateReads {
		latest = w.book.latest
	}
	w.reading = reading{}
	if value, ok := r.Body.(Register); ok && value.Number < latest {
		w.breaks(violation(Fresh, "%d was acknowledged before the read came to %s, which says %d", latest, p.seat, value.Number))
	}
}

// recovery is what a set of processes has when all others are gone.
type recovery struct {
	owned bool
	value Register
}

// recoveries remembers recoveries by the disks that they start from: many
// states share their disks.
type recoveries struct {
	lock  sync.Mutex
	known map[digest]recovery
}

// judgeDisks restarts every set of two or three processes from its synced disks,
// with all others gone, and judges what the owner that they elect would serve.
func (w *World) judgeDisks() {
	alive := make([]string, 0, len(w.processes))
	for _, p := range w.processes {
		if !p.lost {
			alive = append(alive, p.seat)
		}
	}
	for chosen := range 1 << len(alive) {
		set := members(alive, chosen)
		if len(set) < 2 || len(set) > 3 {
			continue
		}
		r := w.recovery(set)
		if !r.owned {
			continue
		}
		how := fmt.Sprintf("what %v have after a restart without the others", listed(alive, set))
		w.judgeRecovery(r.value, how)
	}
}

func (w *World) judgeRecovery(value Register, how string) {
	if value.Number < w.book.latest {
		w.breaks(violation(Durable, "%d was acknowledged and %d is %s", w.book.latest, value.Number, how))
	}
	recovered := w.book
	for _, past := range value.Past {
		var broken *Violation
		recovered, broken = recovered.see(past.Number, past.Value, how)
		w.breaks(broken)
	}
}

func listed(alive []string, set map[string]bool) []string {
	var list []string
	for _, seat := range alive {
		if set[seat] {
			list = append(list, seat)
		}
	}
	return list
}

func (w *World) recovery(set map[string]bool) recovery {
	var key digest
	for _, p := range w.processes {
		if set[p.seat] {
			key = key.plus(p.diskDigest())
		}
	}
	known := &w.scenario.recoveries
	known.lock.Lock()
	r, ok := known.known[key]
	known.lock.Unlock()
	if ok {
		return r
	}
	disks := map[string]partition.State{}
	for _, p := range w.processes {
		if set[p.seat] {
			disks[p.seat] = p.disk
		}
	}
	r = recoverFrom(disks)
	known.lock.Lock()
	known.known[key] = r
	known.lock.Unlock()
	return r
}

func (p *process) diskDigest() digest {
	if p.stored == nil {
		d := digestOf(nil, p.seat, p.disk)
		p.stored = &d
	}
	return *p.stored
}

// recoverySteps is how many quanta a recovery may take: long enough for all
// leases to end and for several rounds of candidates.
const recoverySteps = 24

// recoverFrom runs the machines of some disks until one of them owns the part,
// with every message delivered at once.
func recoverFrom(disks map[string]partition.State) recovery {
	scenario := Scenario{Members: []string{}, renamings: []map[string]string{nil}}
	w := newWorld(&scenario)
	for _, seat := range ordered.Keys(disks) {
		p := &process{seat: seat, disk: disks[seat]}
		p.disk.Entries = maps.Clone(p.disk.Entries)
		p.start(0)
		w.processes = append(w.processes, p)
		w.touched[len(w.processes)-1] = true
	}
	for range recoverySteps {
		w.now += quantum
		for _, p := range w.processes {
			w.take(p, p.machine.Tick(w.now))
			w.settle()
		}
		for _, p := range w.processes {
			if r := served(p.machine, w.now); r.owned {
				return r
			}
		}
	}
	return recovery{}
}

// served is what a read at a machine returns, where it answers at once: it owns
// the part and nothing is on its way to be agreed.
func served(m *partition.Machine, now time.Duration) recovery {
	for _, r := range m.Propose(now, readTicket, readRegister{}).Results {
		if value, ok := r.Body.(Register); ok && r.RequestID == readTicket {
			return recovery{owned: true, value: value}
		}
	}
	return recovery{}
}

// settle delivers all messages in the order in which they were sent.
func (w *World) settle() {
	for len(w.network) > 0 {
		one := w.network[0].packet
		w.network = w.network[1:]
		if p := w.touch(one.To); p.machine != nil {
			w.take(p, p.machine.Receive(w.now+p.skew, one.From, one.Body))
		}
	}
}

// pass lets quanta go by.
func (w *World) pass(quanta int) { w.now += time.Duration(quanta) * quantum }
