package node

import (
	"slices"
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/program"
)

// Messages between an owner, its mirrors and its successor.
type (
	// Copy gives a mirror a program as its owner has it, with all turns that the
	// cores have not taken yet.
	CopyProgram struct {
		Record program.Record `msgpack:"r"`
		Turns  []program.Turn `msgpack:"t"`
	}
	// Copied says that a life of a mirror holds that version.
	CopyAck struct {
		Tenant  string `msgpack:"t"`
		Program string `msgpack:"p"`
		Fence   uint64 `msgpack:"f"`
		Version uint64 `msgpack:"v"`
		Process string `msgpack:"l"`
	}
	// AskCopy asks a mirror for what it holds. From then on it holds nothing more
	// for owners before the one that asks.
	CopyQuery struct {
		Tenant  string `msgpack:"t"`
		Program string `msgpack:"p"`
		Fence   uint64 `msgpack:"f"`
	}
	// CopyHeld answers it.
	CopyAnswer struct {
		Tenant  string         `msgpack:"t"`
		Program string         `msgpack:"p"`
		Fence   uint64         `msgpack:"f"`
		Process string         `msgpack:"l"`
		Found   bool           `msgpack:"o"`
		Record  program.Record `msgpack:"r"`
		Turns   []program.Turn `msgpack:"u"`
	}
)

func init() {
	message.Register(map[string]any{
		"node.Copy":     CopyProgram{},
		"node.Copied":   CopyAck{},
		"node.AskCopy":  CopyQuery{},
		"node.CopyHeld": CopyAnswer{},
	})
}

// mirrored is what this node holds for an owner. It outlives this node's terms,
// as it lasts as long as the process does.
type mirrorCopy struct {
	fence  uint64
	found  bool
	record program.Record
	turns  []program.Turn
	until  time.Duration
}

// mirrorsOfProgram is how many mirrors a program has. All must hold what the
// cores don't, so that any one of them is enough for a successor.
const mirrorsPerProgram = 2

// cover makes a record ready to be written: what is charged beforehand never
// shrinks while the program is open, and mirrors are living members. A record
// that this changes is a new version, so that two of one version never differ
// in it.
func (m *Machine) prepareRecord(prog *ownedProgram) {
	r := &prog.record
	role := m.description.Roles[r.Role]
	covered, mirrors := max(r.Precharged, program.PrechargeTarget(role, r.Charged())), r.Mirrors
	if r.Closed {
		covered = 0
	}
	if r.MirrorsFence != r.Fence || len(mirrors) != mirrorsPerProgram+1 || slices.ContainsFunc(m.otherMirrors(mirrors), m.mirrorEnded) {
		mirrors = m.chooseMirrors()
	}
	if covered != r.Precharged || r.MirrorsFence != r.Fence || !slices.Equal(mirrors, r.Mirrors) {
		r.Precharged, r.Mirrors, r.MirrorsFence = covered, mirrors, r.Fence
		r.Version++
	}
}

// without are a program's mirrors but for its owner, which is named among them,
// since it still has what it did when its term has run out.
func (m *Machine) otherMirrors(mirrors []program.Mirror) []program.Mirror {
	return slices.DeleteFunc(slices.Clone(mirrors), func(mirror program.Mirror) bool { return mirror.ID == m.params.ID })
}

// mirrorEnded reports whether what a mirror held is surely lost or unreachable.
func (m *Machine) mirrorEnded(mirror program.Mirror) bool {
	o, ok := m.members[mirror.ID]
	return !ok || core.LifeOf(o.Incarnation) != mirror.Process || o.Ended
}

// chooseMirrors picks members in other zones than this node's and each other's,
// where there are any.
func (m *Machine) chooseMirrors() []program.Mirror {
	candidates := m.successors()
	if len(candidates) < mirrorsPerProgram {
		return nil
	}
	turn := int(m.random() * float64(len(candidates)))
	var chosen []program.Mirror
	zones := map[string]bool{m.params.Zone: true}
	for _, strict := range []bool{true, false} {
		for i := range candidates {
			o := candidates[(i+turn)%len(candidates)]
			taken := slices.ContainsFunc(chosen, func(c program.Mirror) bool { return c.ID == o.ID })
			if len(chosen) == mirrorsPerProgram || taken || (strict && zones[o.Zone]) {
				continue
			}
			zones[o.Zone] = true
			chosen = append(chosen, program.Mirror{ID: o.ID, Process: core.LifeOf(o.Incarnation), Address: o.Peer})
		}
	}
	chosen = append(chosen, program.Mirror{ID: m.params.ID, Process: core.LifeOf(m.incarnation), Address: m.params.Address})
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].ID < chosen[j].ID })
	return chosen
}

// copyOut gives mirrors what the cores have not taken in time, if what is
// durable there names these mirrors and covers what was charged since.
func (m *Machine) copyToMirrors(now time.Duration, prog *ownedProgram) {
	if prog.savedVersion >= prog.record.Version || prog.lost || prog.recovery != nil || now < prog.unsavedSince+m.params.Core.Retry || now < prog.nextCopyAt ||
		prog.mirroredVersion >= prog.record.Version || !m.inTerm(now) {
		return
	}
	if len(prog.savedMirrors) != mirrorsPerProgram+1 || !slices.Equal(prog.savedMirrors, prog.record.Mirrors) || prog.record.Charged() > min(prog.savedPrecharged, prog.dayPrecharged) {
		return
	}
	prog.nextCopyAt = now + m.params.Core.Retry
	c := CopyProgram{Record: copyRecord(prog.record), Turns: slices.Clone(prog.unsavedTurns)}
	for _, mirror := range m.otherMirrors(prog.savedMirrors) {
		m.send(mirror.Address, c)
	}
}

func (m *Machine) mirrorCopyOf(tenant, id string) *mirrorCopy {
	key := tenant + "/" + id
	if m.mirrors[key] == nil {
		m.mirrors[key] = &mirrorCopy{}
	}
	return m.mirrors[key]
}

func (m *Machine) onCopy(now time.Duration, from string, b CopyProgram) {
	c := m.mirrorCopyOf(b.Record.Tenant, b.Record.ID)
	if b.Record.Fence < c.fence {
		return
	}
	if !c.found || b.Record.Fence > c.fence || b.Record.Version > c.record.Version {
		c.fence, c.found, c.record, c.turns = b.Record.Fence, true, b.Record, b.Turns
	}
	c.until = now + b.Record.Retention
	m.send(from, CopyAck{Tenant: b.Record.Tenant, Program: b.Record.ID, Fence: b.Record.Fence, Version: b.Record.Version, Process: core.LifeOf(m.incarnation)})
}

// keepOwn keeps what this node did for a program that is no longer its own, for
// whoever owns it next.
func (m *Machine) keepUnsaved(now time.Duration, prog *ownedProgram) {
	if prog.recovery == nil && prog.record.Version > prog.savedVersion {
		m.onCopy(now, "", CopyProgram{Record: copyRecord(prog.record), Turns: slices.Clone(prog.unsavedTurns)})
	}
}

func (m *Machine) onCopyAck(now time.Duration, from string, b CopyAck) {
	prog := m.programs[b.Tenant+"/"+b.Program]
	if prog == nil || prog.record.Fence != b.Fence || !m.inTerm(now) {
		return
	}
	if prog.acked == nil {
		prog.acked = map[string]uint64{}
	}
	prog.acked[from+"/"+b.Process] = max(b.Version, prog.acked[from+"/"+b.Process])
	oldest := uint64(0)
	for i, mirror := range m.otherMirrors(prog.savedMirrors) {
		if version := prog.acked[mirror.Address+"/"+mirror.Process]; i == 0 || version < oldest {
			oldest = version
		}
	}
	if oldest > prog.mirroredVersion {
		prog.mirroredVersion = oldest
		m.Counters.Mirrored++
		m.completeSaves(now, prog)
	}
}

func (m *Machine) onCopyQuery(now time.Duration, from string, b CopyQuery) {
	c := m.mirrorCopyOf(b.Tenant, b.Program)
	held := CopyAnswer{Tenant: b.Tenant, Program: b.Program, Fence: b.Fence, Process: core.LifeOf(m.incarnation), Found: c.found}
	if c.found {
		held.Record, held.Turns = c.record, c.turns
	}
	// What comes from an owner before the one that asks is no longer taken.
	c.fence = max(c.fence, b.Fence)
	c.until = max(c.until, now+m.params.Core.MemberTerm*healthTerms)
	m.send(from, held)
}

// consulting is a successor's asking of the former owner's mirrors.
type mirrorRecovery struct {
	mirrors     []program.Mirror
	formerFence uint64
	nextQueryAt time.Duration
	goneAt      map[string]time.Duration
	waiting     []*requestState
}

// mirrorTerms is after how many member terms a mirror whose term has ended
// counts as lost with its machine.
const lostMirrorTerms = 15

// consult asks the mirrors of the former owner before a successor does anything
// for a program: turns may be there that the cores never got.
func (m *Machine) recoverFromMirrors(now time.Duration, prog *ownedProgram) {
	r := prog.record
	if len(r.Mirrors) == 0 || r.MirrorsFence == r.Fence {
		return
	}
	prog.recovery = &mirrorRecovery{mirrors: r.Mirrors, formerFence: r.MirrorsFence, goneAt: map[string]time.Duration{}}
	m.queryMirrors(now, prog)
}

func (m *Machine) queryMirrors(now time.Duration, prog *ownedProgram) {
	c := prog.recovery
	if c == nil || prog.lost || now < c.nextQueryAt {
		return
	}
	c.nextQueryAt = now + m.params.Core.Retry
	lost := 0
	for _, mirror := range c.mirrors {
		if mirror.ID == m.params.ID && mirror.Process == core.LifeOf(m.incarnation) {
			m.send(mirror.Address, CopyQuery{Tenant: prog.record.Tenant, Program: prog.record.ID, Fence: prog.record.Fence})
			continue
		}
		if o, ok := m.members[mirror.ID]; ok && core.LifeOf(o.Incarnation) != mirror.Process {
			// The process that held it is no more.
			lost++
			continue
		}
		if m.mirrorEnded(mirror) {
			if c.goneAt[mirror.ID] == 0 {
				c.goneAt[mirror.ID] = now
			}
			if now >= c.goneAt[mirror.ID]+lostMirrorTerms*m.params.Core.MemberTerm {
				lost++
			}
		}
		m.send(mirror.Address, CopyQuery{Tenant: prog.record.Tenant, Program: prog.record.ID, Fence: prog.record.Fence})
	}
	if lost == len(c.mirrors) {
		// Owner and mirrors are gone. What was charged beforehand counts as spent.
		m.Counters.MirrorsLost++
		prog.record.Spent = max(prog.record.Spent, prog.record.Precharged)
		m.finishRecovery(now, prog)
	}
}

func (m *Machine) onCopyAnswer(now time.Duration, b CopyAnswer) {
	prog := m.programs[b.Tenant+"/"+b.Program]
	if prog == nil || prog.recovery == nil || b.Fence != prog.record.Fence {
		return
	}
	c := prog.recovery
	if !slices.ContainsFunc(c.mirrors, func(mirror program.Mirror) bool { return mirror.Process == b.Process }) {
		return
	}
	if b.Found && b.Record.Fence == c.formerFence && b.Record.Version > prog.record.Version {
		m.Counters.MirrorsUsed++
		r := b.Record
		r.ChargeRunning()
		r.Fence, r.Node, r.Incarnation, r.Address = prog.record.Fence, prog.record.Node, prog.record.Incarnation, prog.record.Address
		prog.record = r
		for _, t := range b.Turns {
			if t.Number == len(prog.turns[t.Conversation]) {
				prog.turns[t.Conversation] = append(prog.turns[t.Conversation], t)
				prog.unsavedTurns = append(prog.unsavedTurns, t)
			}
		}
	}
	m.finishRecovery(now, prog)
}

func (m *Machine) finishRecovery(now time.Duration, prog *ownedProgram) {
	waiting := prog.recovery.waiting
	prog.recovery = nil
	m.resave(now, prog)
	for _, req := range waiting {
		m.locate(now, req)
	}
}

// await lets an inquiry wait for the mirrors' word, or tells it when to ask
// again.
func (m *Machine) awaitRecovery(now time.Duration, req *requestState, prog *ownedProgram) {
	prog.recovery.waiting = append(prog.recovery.waiting, req)
	m.timers.Add(m.stepDeadline(now, req), func(now time.Duration) {
		if !req.done && prog.recovery != nil && slices.Contains(prog.recovery.waiting, req) {
			m.refuse(req, retryLater("the former owner's mirrors can't be reached yet"))
		}
	})
}

func (m *Machine) expireMirrorCopies(now time.Duration) {
	for _, key := range ordered.Keys(m.mirrors) {
		if now >= m.mirrors[key].until {
			delete(m.mirrors, key)
		}
	}
}

// opener is the member whose present life opened a program, by the program's
// name: it is asked first, so that no core is needed to find an owner.
func (m *Machine) opener(id string) (core.Member, bool) {
	for _, name := range ordered.Keys(m.members) {
		o := m.members[name]
		prefix := "p-" + o.ID + "-" + o.Incarnation + "-"
		if name != m.params.ID && !o.Ended && len(id) > len(prefix) && id[:len(prefix)] == prefix {
			return o, true
		}
	}
	return core.Member{}, false
}

// MirrorsOf lists the addresses of a program's mirrors, if this node owns it.
func (m *Machine) MirrorsOf(tenant, id string) (list []string) {
	if prog := m.programs[tenant+"/"+id]; prog != nil {
		for _, mirror := range m.otherMirrors(prog.savedMirrors) {
			list = append(list, mirror.Address)
		}
	}
	return list
}
