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

// checkState checks the properties of a state, except those of the disks alone (see checkDisks).
func (w *World) checkState() {
	var holders []string
	for _, p := range w.processes {
		if p.leads(w.now) {
			holders = append(holders, p.member)
		}
	}
	if len(holders) > 1 {
		w.recordViolation(violation(OneLease, "%s hold the lease at %v", strings.Join(holders, " and "), w.now))
	}
	for _, p := range w.processes {
		if p.machine != nil && !w.frozen(p.member) {
			w.checkReadAt(p)
		}
	}
}

// checkReadAt checks a read that would be answered immediately. The machine decides whether its
// lease is still valid.
func (w *World) checkReadAt(p *process) {
	if _, serving := p.machine.CommittedVersion(); !serving {
		return
	}
	cache := &p.readable[0]
	if p.leads(w.now) {
		cache = &p.readable[1]
	}
	if *cache == nil {
		r := immediateRead(cloneMachine(p.machine), w.now+p.skew)
		*cache = &r
	}
	if (*cache).leading {
		w.checkRead((*cache).value, "read at "+p.member)
	}
}

func (w *World) checkRead(value Register, evidence string) {
	if value.Number < w.history.latest {
		w.recordViolation(violation(FreshRead, "%d was acknowledged and %d is %s", w.history.latest, value.Number, evidence))
		return
	}
	for _, past := range value.Past {
		var violated *Violation
		w.history, violated = w.history.recordValue(past.Number, past.Value, evidence)
		w.recordViolation(violated)
	}
}

// answerRead executes a read with the clock sampled at its arrival.
func (w *World) answerRead(p *process) {
	w.reading.Executed = true
	w.perform(p, p.machine.Propose(w.reading.Sampled, readRequestID, readRegister{}))
}

// checkAnsweredRead checks a read against what was acknowledged before it arrived.
func (w *World) checkAnsweredRead(p *process, r partition.Result) {
	latest := w.reading.Latest
	if w.scenario.LateReads {
		latest = w.history.latest
	}
	w.reading = reading{}
	if value, ok := r.Body.(Register); ok && value.Number < latest {
		w.recordViolation(violation(FreshRead, "%d was acknowledged before the read came to %s, which returned %d",
			latest, p.member, value.Number))
	}
}

// recovery is the result of a read at a leader, if there is one.
type recovery struct {
	leading bool
	value   Register
}

// recoveryCache is keyed by the digest of the disks, which many states share.
type recoveryCache struct {
	lock       sync.Mutex
	recoveries map[digest]recovery
}

// checkDisks restarts every two or three processes from their synced disks, without the others, and
// checks what the leader they elect would serve.
func (w *World) checkDisks() {
	alive := make([]string, 0, len(w.processes))
	for _, p := range w.processes {
		if !p.lost {
			alive = append(alive, p.member)
		}
	}
	for mask := range 1 << len(alive) {
		set := subset(alive, mask)
		if len(set) < 2 || len(set) > 3 {
			continue
		}
		r := w.recovery(set)
		if !r.leading {
			continue
		}
		evidence := fmt.Sprintf("what %v have after a restart without the others", chosenMembers(alive, set))
		w.checkRecovery(r.value, evidence)
	}
}

func (w *World) checkRecovery(value Register, evidence string) {
	if value.Number < w.history.latest {
		w.recordViolation(violation(Durable, "%d was acknowledged and %d is %s", w.history.latest, value.Number, evidence))
	}
	recovered := w.history
	for _, past := range value.Past {
		var violated *Violation
		recovered, violated = recovered.recordValue(past.Number, past.Value, evidence)
		w.recordViolation(violated)
	}
}

func chosenMembers(alive []string, set map[string]bool) []string {
	var list []string
	for _, member := range alive {
		if set[member] {
			list = append(list, member)
		}
	}
	return list
}

func (w *World) recovery(set map[string]bool) recovery {
	var key digest
	for _, p := range w.processes {
		if set[p.member] {
			key = key.plus(p.diskDigest())
		}
	}
	cache := &w.scenario.recoveryCache
	cache.lock.Lock()
	r, ok := cache.recoveries[key]
	cache.lock.Unlock()
	if ok {
		return r
	}
	disks := map[string]partition.State{}
	for _, p := range w.processes {
		if set[p.member] {
			disks[p.member] = p.disk
		}
	}
	r = recoverFrom(disks)
	cache.lock.Lock()
	cache.recoveries[key] = r
	cache.lock.Unlock()
	return r
}

func (p *process) diskDigest() digest {
	if p.storedDigest == nil {
		d := digestOf(nil, p.member, p.disk)
		p.storedDigest = &d
	}
	return *p.storedDigest
}

// recoverySteps bounds a recovery, in quanta: all leases expire, and several elections fit.
const recoverySteps = 24

// recoverFrom runs machines from the disks, with immediate delivery, until one leads.
func recoverFrom(disks map[string]partition.State) recovery {
	scenario := Scenario{Members: []string{}, renamings: []map[string]string{nil}}
	w := newWorld(&scenario)
	for _, member := range ordered.Keys(disks) {
		p := &process{member: member, disk: disks[member]}
		p.disk.Entries = maps.Clone(p.disk.Entries)
		p.start(0)
		w.processes = append(w.processes, p)
		w.copied[len(w.processes)-1] = true
	}
	for range recoverySteps {
		w.now += quantum
		for _, p := range w.processes {
			w.perform(p, p.machine.Tick(w.now))
			w.deliverAll()
		}
		for _, p := range w.processes {
			if r := immediateRead(p.machine, w.now); r.leading {
				return r
			}
		}
	}
	return recovery{}
}

// immediateRead returns a read's result if the machine leads and no write waits for a quorum.
func immediateRead(m *partition.Machine, now time.Duration) recovery {
	for _, r := range m.Propose(now, readRequestID, readRegister{}).Results {
		if value, ok := r.Body.(Register); ok && r.RequestID == readRequestID {
			return recovery{leading: true, value: value}
		}
	}
	return recovery{}
}

func (w *World) deliverAll() {
	for len(w.network) > 0 {
		msg := w.network[0].packet
		w.network = w.network[1:]
		if p := w.mutableProcess(msg.To); p.machine != nil {
			w.perform(p, p.machine.Receive(w.now+p.skew, msg.From, msg.Body))
		}
	}
}

func (w *World) advance(quanta int) { w.now += time.Duration(quanta) * quantum }
