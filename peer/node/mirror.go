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
	Copy struct {
		Record program.Record `msgpack:"r"`
		Turns  []program.Turn `msgpack:"t"`
	}
	// Copied says that a life of a mirror holds that version.
	Copied struct {
		Tenant  string `msgpack:"t"`
		Program string `msgpack:"p"`
		Fence   uint64 `msgpack:"f"`
		Version uint64 `msgpack:"v"`
		Life    string `msgpack:"l"`
	}
	// AskCopy asks a mirror for what it holds. From then on it holds nothing more
	// for owners before the one that asks.
	AskCopy struct {
		Tenant  string `msgpack:"t"`
		Program string `msgpack:"p"`
		Fence   uint64 `msgpack:"f"`
	}
	// CopyHeld answers it.
	CopyHeld struct {
		Tenant  string         `msgpack:"t"`
		Program string         `msgpack:"p"`
		Fence   uint64         `msgpack:"f"`
		Life    string         `msgpack:"l"`
		Found   bool           `msgpack:"o"`
		Record  program.Record `msgpack:"r"`
		Turns   []program.Turn `msgpack:"u"`
	}
)

func init() {
	message.Register(map[string]any{
		"node.Copy":     Copy{},
		"node.Copied":   Copied{},
		"node.AskCopy":  AskCopy{},
		"node.CopyHeld": CopyHeld{},
	})
}

// mirrored is what this node holds for an owner. It outlives this node's terms,
// as it lasts as long as the process does.
type mirrored struct {
	fence  uint64
	found  bool
	record program.Record
	turns  []program.Turn
	until  time.Duration
}

// mirrorsOfProgram is how many mirrors a program has. All must hold what the
// cores don't, so that any one of them is enough for a successor.
const mirrorsOfProgram = 2

// cover makes a record ready to be written: what is charged beforehand never
// shrinks while the program is open, and mirrors are living members. A record
// that this changes is a new version, so that two of one version never differ
// in it.
func (m *Machine) cover(h *held) {
	r := &h.record
	role := m.description.Roles[r.Role]
	covered, mirrors := max(r.Covered, program.Cover(role, r.Charged())), r.Mirrors
	if r.Closed {
		covered = 0
	}
	if r.MirrorsFence != r.Fence || len(mirrors) != mirrorsOfProgram+1 || slices.ContainsFunc(m.without(mirrors), m.mirrorEnded) {
		mirrors = m.chooseMirrors()
	}
	if covered != r.Covered || r.MirrorsFence != r.Fence || !slices.Equal(mirrors, r.Mirrors) {
		r.Covered, r.Mirrors, r.MirrorsFence = covered, mirrors, r.Fence
		r.Version++
	}
}

// without are a program's mirrors but for its owner, which is named among them,
// since it still has what it did when its term has run out.
func (m *Machine) without(mirrors []program.Mirror) []program.Mirror {
	return slices.DeleteFunc(slices.Clone(mirrors), func(one program.Mirror) bool { return one.ID == m.params.ID })
}

// mirrorEnded reports whether what a mirror held is surely lost or unreachable.
func (m *Machine) mirrorEnded(one program.Mirror) bool {
	o, ok := m.members[one.ID]
	return !ok || core.ProcessIncarnation(o.Incarnation) != one.Life || o.Ended
}

// chooseMirrors picks members in other zones than this node's and each other's,
// where there are any.
func (m *Machine) chooseMirrors() []program.Mirror {
	candidates := m.successors()
	if len(candidates) < mirrorsOfProgram {
		return nil
	}
	turn := int(m.random() * float64(len(candidates)))
	var chosen []program.Mirror
	zones := map[string]bool{m.params.Zone: true}
	for _, strict := range []bool{true, false} {
		for i := range candidates {
			o := candidates[(i+turn)%len(candidates)]
			taken := slices.ContainsFunc(chosen, func(c program.Mirror) bool { return c.ID == o.ID })
			if len(chosen) == mirrorsOfProgram || taken || (strict && zones[o.Zone]) {
				continue
			}
			zones[o.Zone] = true
			chosen = append(chosen, program.Mirror{ID: o.ID, Life: core.ProcessIncarnation(o.Incarnation), Peer: o.Peer})
		}
	}
	chosen = append(chosen, program.Mirror{ID: m.params.ID, Life: core.ProcessIncarnation(m.incarnation), Peer: m.params.Address})
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].ID < chosen[j].ID })
	return chosen
}

// copyOut gives mirrors what the cores have not taken in time, if what is
// durable there names these mirrors and covers what was charged since.
func (m *Machine) copyOut(now time.Duration, h *held) {
	if h.saved >= h.record.Version || h.lost || h.consulting != nil || now < h.unsavedAt+m.params.Core.AttemptTimeout || now < h.copyAt ||
		h.copied >= h.record.Version || !m.termed(now) {
		return
	}
	if len(h.named) != mirrorsOfProgram+1 || !slices.Equal(h.named, h.record.Mirrors) || h.record.Charged() > min(h.covered, h.dayCovered) {
		return
	}
	h.copyAt = now + m.params.Core.AttemptTimeout
	c := Copy{Record: copyRecord(h.record), Turns: slices.Clone(h.unsaved)}
	for _, one := range m.without(h.named) {
		m.send(one.Peer, c)
	}
}

func (m *Machine) mirroredOf(tenant, id string) *mirrored {
	key := tenant + "/" + id
	if m.mirrors[key] == nil {
		m.mirrors[key] = &mirrored{}
	}
	return m.mirrors[key]
}

func (m *Machine) onCopy(now time.Duration, from string, b Copy) {
	c := m.mirroredOf(b.Record.Tenant, b.Record.ID)
	if b.Record.Fence < c.fence {
		return
	}
	if !c.found || b.Record.Fence > c.fence || b.Record.Version > c.record.Version {
		c.fence, c.found, c.record, c.turns = b.Record.Fence, true, b.Record, b.Turns
	}
	c.until = now + b.Record.Keep
	m.send(from, Copied{Tenant: b.Record.Tenant, Program: b.Record.ID, Fence: b.Record.Fence, Version: b.Record.Version, Life: core.ProcessIncarnation(m.incarnation)})
}

// keepOwn keeps what this node did for a program that is no longer its own, for
// whoever owns it next.
func (m *Machine) keepOwn(now time.Duration, h *held) {
	if h.consulting == nil && h.record.Version > h.saved {
		m.onCopy(now, "", Copy{Record: copyRecord(h.record), Turns: slices.Clone(h.unsaved)})
	}
}

func (m *Machine) onCopied(now time.Duration, from string, b Copied) {
	h := m.programs[b.Tenant+"/"+b.Program]
	if h == nil || h.record.Fence != b.Fence || !m.termed(now) {
		return
	}
	if h.acked == nil {
		h.acked = map[string]uint64{}
	}
	h.acked[from+"/"+b.Life] = max(b.Version, h.acked[from+"/"+b.Life])
	least := uint64(0)
	for i, one := range m.without(h.named) {
		if at := h.acked[one.Peer+"/"+one.Life]; i == 0 || at < least {
			least = at
		}
	}
	if least > h.copied {
		h.copied = least
		m.Counters.Mirrored++
		m.wakeSaves(now, h)
	}
}

func (m *Machine) onAskCopy(now time.Duration, from string, b AskCopy) {
	c := m.mirroredOf(b.Tenant, b.Program)
	held := CopyHeld{Tenant: b.Tenant, Program: b.Program, Fence: b.Fence, Life: core.ProcessIncarnation(m.incarnation), Found: c.found}
	if c.found {
		held.Record, held.Turns = c.record, c.turns
	}
	// What comes from an owner before the one that asks is no longer taken.
	c.fence = max(c.fence, b.Fence)
	c.until = max(c.until, now+m.params.Core.MemberLease*ejectionsKept)
	m.send(from, held)
}

// consulting is a successor's asking of the former owner's mirrors.
type consulting struct {
	mirrors []program.Mirror
	former  uint64
	askAt   time.Duration
	goneAt  map[string]time.Duration
	waiting []*way
}

// mirrorTerms is after how many member terms a mirror whose term has ended
// counts as lost with its machine.
const mirrorTerms = 15

// consult asks the mirrors of the former owner before a successor does anything
// for a program: turns may be there that the cores never got.
func (m *Machine) consult(now time.Duration, h *held) {
	r := h.record
	if len(r.Mirrors) == 0 || r.MirrorsFence == r.Fence {
		return
	}
	h.consulting = &consulting{mirrors: r.Mirrors, former: r.MirrorsFence, goneAt: map[string]time.Duration{}}
	m.askMirrors(now, h)
}

func (m *Machine) askMirrors(now time.Duration, h *held) {
	c := h.consulting
	if c == nil || h.lost || now < c.askAt {
		return
	}
	c.askAt = now + m.params.Core.AttemptTimeout
	lost := 0
	for _, one := range c.mirrors {
		if one.ID == m.params.ID && one.Life == core.ProcessIncarnation(m.incarnation) {
			m.send(one.Peer, AskCopy{Tenant: h.record.Tenant, Program: h.record.ID, Fence: h.record.Fence})
			continue
		}
		if o, ok := m.members[one.ID]; ok && core.ProcessIncarnation(o.Incarnation) != one.Life {
			// The process that held it is no more.
			lost++
			continue
		}
		if m.mirrorEnded(one) {
			if c.goneAt[one.ID] == 0 {
				c.goneAt[one.ID] = now
			}
			if now >= c.goneAt[one.ID]+mirrorTerms*m.params.Core.MemberLease {
				lost++
			}
		}
		m.send(one.Peer, AskCopy{Tenant: h.record.Tenant, Program: h.record.ID, Fence: h.record.Fence})
	}
	if lost == len(c.mirrors) {
		// Owner and mirrors are gone. What was charged beforehand counts as spent.
		m.Counters.MirrorsLost++
		h.record.Spent = max(h.record.Spent, h.record.Covered)
		m.consulted(now, h)
	}
}

func (m *Machine) onCopyHeld(now time.Duration, b CopyHeld) {
	h := m.programs[b.Tenant+"/"+b.Program]
	if h == nil || h.consulting == nil || b.Fence != h.record.Fence {
		return
	}
	c := h.consulting
	if !slices.ContainsFunc(c.mirrors, func(one program.Mirror) bool { return one.Life == b.Life }) {
		return
	}
	if b.Found && b.Record.Fence == c.former && b.Record.Version > h.record.Version {
		m.Counters.MirrorsUsed++
		r := b.Record
		r.Settle()
		r.Fence, r.Node, r.Incarnation, r.Address = h.record.Fence, h.record.Node, h.record.Incarnation, h.record.Address
		h.record = r
		for _, t := range b.Turns {
			if t.Number == len(h.turns[t.Line]) {
				h.turns[t.Line] = append(h.turns[t.Line], t)
				h.unsaved = append(h.unsaved, t)
			}
		}
	}
	m.consulted(now, h)
}

func (m *Machine) consulted(now time.Duration, h *held) {
	waiting := h.consulting.waiting
	h.consulting = nil
	m.resave(now, h)
	for _, w := range waiting {
		m.locate(now, w)
	}
}

// await lets an inquiry wait for the mirrors' word, or tells it when to ask
// again.
func (m *Machine) await(now time.Duration, w *way, h *held) {
	h.consulting.waiting = append(h.consulting.waiting, w)
	m.later.Add(m.patient(now, w), func(now time.Duration) {
		if !w.over && h.consulting != nil && slices.Contains(h.consulting.waiting, w) {
			m.refuse(w, unsure("the former owner's mirrors can't be reached yet"))
		}
	})
}

func (m *Machine) forgetMirrored(now time.Duration) {
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
	if h := m.programs[tenant+"/"+id]; h != nil {
		for _, one := range m.without(h.named) {
			list = append(list, one.Peer)
		}
	}
	return list
}
