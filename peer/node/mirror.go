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
	// CopyProgram carries a program to a mirror, with all turns that the cores have not stored.
	CopyProgram struct {
		Record program.Record `msgpack:"r"`
		Turns  []program.Turn `msgpack:"t"`
	}
	// CopyAck confirms that a mirror's process has a version of a program.
	CopyAck struct {
		Tenant  string `msgpack:"t"`
		Program string `msgpack:"p"`
		Fence   uint64 `msgpack:"f"`
		Version uint64 `msgpack:"v"`
		Process string `msgpack:"l"`
	}
	// CopyQuery requests a mirror's copy. The mirror then accepts no more copies from earlier
	// owners.
	CopyQuery struct {
		Tenant  string `msgpack:"t"`
		Program string `msgpack:"p"`
		Fence   uint64 `msgpack:"f"`
	}
	// CopyAnswer answers a CopyQuery.
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

// mirrorCopy is in memory only, and survives a new membership incarnation of the process.
type mirrorCopy struct {
	fence  uint64
	found  bool
	record program.Record
	turns  []program.Turn
	until  time.Duration
}

// mirrorsPerProgram does not count the owner. A version that the cores lack is durable only when
// all mirrors have it, so that a successor can recover it from any one.
const mirrorsPerProgram = 2

// prepareRecord sets the total charged in advance, which never shrinks while the program is open,
// and live mirrors. A change is a new version, so that records of one version never differ in them.
func (m *Machine) prepareRecord(prog *ownedProgram) {
	r := &prog.record
	role := m.description.Roles[r.Role]
	precharged, mirrors := max(r.Precharged, program.PrechargeTarget(role, r.Charged())), r.Mirrors
	if r.Closed {
		precharged = 0
	}
	if r.MirrorsFence != r.Fence || len(mirrors) != mirrorsPerProgram+1 || slices.ContainsFunc(m.otherMirrors(mirrors), m.mirrorEnded) {
		mirrors = m.chooseMirrors()
	}
	if precharged != r.Precharged || r.MirrorsFence != r.Fence || !slices.Equal(mirrors, r.Mirrors) {
		r.Precharged, r.Mirrors, r.MirrorsFence = precharged, mirrors, r.Fence
		r.Version++
	}
}

// otherMirrors leaves out the owner, which is listed because it still has its changes after its
// lease has ended.
func (m *Machine) otherMirrors(mirrors []program.Mirror) []program.Mirror {
	return slices.DeleteFunc(slices.Clone(mirrors), func(mirror program.Mirror) bool { return mirror.ID == m.params.ID })
}

func (m *Machine) mirrorEnded(mirror program.Mirror) bool {
	member, ok := m.members[mirror.ID]
	return !ok || core.ProcessIncarnation(member.Incarnation) != mirror.Process || member.Ended
}

// chooseMirrors picks members in different zones where possible, and adds this node. It returns nil
// if there are too few members.
func (m *Machine) chooseMirrors() []program.Mirror {
	candidates := m.availableMembers()
	if len(candidates) < mirrorsPerProgram {
		return nil
	}
	first := int(m.random() * float64(len(candidates)))
	var chosen []program.Mirror
	zones := map[string]bool{m.params.Zone: true}
	for _, strict := range []bool{true, false} {
		for i := range candidates {
			candidate := candidates[(i+first)%len(candidates)]
			taken := slices.ContainsFunc(chosen, func(c program.Mirror) bool { return c.ID == candidate.ID })
			if len(chosen) == mirrorsPerProgram || taken || (strict && zones[candidate.Zone]) {
				continue
			}
			zones[candidate.Zone] = true
			chosen = append(chosen, program.Mirror{
				ID:      candidate.ID,
				Process: core.ProcessIncarnation(candidate.Incarnation),
				Address: candidate.Peer,
			})
		}
	}
	chosen = append(chosen, program.Mirror{ID: m.params.ID, Process: core.ProcessIncarnation(m.incarnation), Address: m.params.Address})
	sort.Slice(chosen, func(i, j int) bool { return chosen[i].ID < chosen[j].ID })
	return chosen
}

// copyToMirrors sends what the cores have not stored in time, provided that the stored record names
// these mirrors and covers everything charged since.
func (m *Machine) copyToMirrors(now time.Duration, prog *ownedProgram) {
	if prog.savedVersion >= prog.record.Version || prog.lost || prog.recovery != nil ||
		now < prog.unsavedSince+m.params.Core.AttemptTimeout || now < prog.nextCopyAt ||
		prog.mirroredVersion >= prog.record.Version || !m.hasLease(now) {
		return
	}
	if len(prog.savedMirrors) != mirrorsPerProgram+1 ||
		!slices.Equal(prog.savedMirrors, prog.record.Mirrors) || prog.record.Charged() > min(prog.savedPrecharged, prog.dayPrecharged) {
		return
	}
	prog.nextCopyAt = now + m.params.Core.AttemptTimeout
	copied := CopyProgram{Record: copyRecord(prog.record), Turns: slices.Clone(prog.unsavedTurns)}
	for _, mirror := range m.otherMirrors(prog.savedMirrors) {
		m.send(mirror.Address, copied)
	}
}

func (m *Machine) mirrorCopyOf(tenant, id string) *mirrorCopy {
	key := tenant + "/" + id
	if m.mirrors[key] == nil {
		m.mirrors[key] = &mirrorCopy{}
	}
	return m.mirrors[key]
}

// onCopy ignores a copy if a newer owner's fence is known.
func (m *Machine) onCopy(now time.Duration, from string, copied CopyProgram) {
	stored := m.mirrorCopyOf(copied.Record.Tenant, copied.Record.ID)
	if copied.Record.Fence < stored.fence {
		return
	}
	if !stored.found || copied.Record.Fence > stored.fence || copied.Record.Version > stored.record.Version {
		stored.fence, stored.found, stored.record, stored.turns = copied.Record.Fence, true, copied.Record, copied.Turns
	}
	stored.until = now + copied.Record.Retention
	m.send(from, CopyAck{
		Tenant:  copied.Record.Tenant,
		Program: copied.Record.ID,
		Fence:   copied.Record.Fence,
		Version: copied.Record.Version,
		Process: core.ProcessIncarnation(m.incarnation),
	})
}

// keepUnsaved keeps a lost program's unsaved changes as a mirror copy for its next owner.
func (m *Machine) keepUnsaved(now time.Duration, prog *ownedProgram) {
	if prog.recovery == nil && prog.record.Version > prog.savedVersion {
		m.onCopy(now, "", CopyProgram{Record: copyRecord(prog.record), Turns: slices.Clone(prog.unsavedTurns)})
	}
}

// onCopyAck completes saves once all mirrors have their version.
func (m *Machine) onCopyAck(now time.Duration, from string, ack CopyAck) {
	prog := m.programs[ack.Tenant+"/"+ack.Program]
	if prog == nil || prog.record.Fence != ack.Fence || !m.hasLease(now) {
		return
	}
	if prog.acked == nil {
		prog.acked = map[string]uint64{}
	}
	prog.acked[from+"/"+ack.Process] = max(ack.Version, prog.acked[from+"/"+ack.Process])
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

func (m *Machine) onCopyQuery(now time.Duration, from string, query CopyQuery) {
	stored := m.mirrorCopyOf(query.Tenant, query.Program)
	answer := CopyAnswer{
		Tenant:  query.Tenant,
		Program: query.Program,
		Fence:   query.Fence,
		Process: core.ProcessIncarnation(m.incarnation),
		Found:   stored.found,
	}
	if stored.found {
		answer.Record, answer.Turns = stored.record, stored.turns
	}
	// Later copies from earlier owners must not be accepted.
	stored.fence = max(stored.fence, query.Fence)
	stored.until = max(stored.until, now+m.params.Core.MemberLease*retentionLeases)
	m.send(from, answer)
}

type mirrorRecovery struct {
	mirrors     []program.Mirror
	formerFence uint64
	nextQueryAt time.Duration
	endedAt     map[string]time.Duration
	waiting     []*requestState
}

// lostMirrorLeases is the time, in member leases, after which a mirror that ended counts as lost.
const lostMirrorLeases = 15

// recoverFromMirrors queries the former owner's mirrors before this node serves a program, because
// they may have turns that the cores never stored.
func (m *Machine) recoverFromMirrors(now time.Duration, prog *ownedProgram) {
	record := prog.record
	if len(record.Mirrors) == 0 || record.MirrorsFence == record.Fence {
		return
	}
	prog.recovery = &mirrorRecovery{mirrors: record.Mirrors, formerFence: record.MirrorsFence, endedAt: map[string]time.Duration{}}
	m.queryMirrors(now, prog)
}

// queryMirrors ends the recovery when all mirrors are lost.
func (m *Machine) queryMirrors(now time.Duration, prog *ownedProgram) {
	recovery := prog.recovery
	if recovery == nil || prog.lost || now < recovery.nextQueryAt {
		return
	}
	recovery.nextQueryAt = now + m.params.Core.AttemptTimeout
	lost := 0
	for _, mirror := range recovery.mirrors {
		if mirror.ID == m.params.ID && mirror.Process == core.ProcessIncarnation(m.incarnation) {
			m.send(mirror.Address, CopyQuery{Tenant: prog.record.Tenant, Program: prog.record.ID, Fence: prog.record.Fence})
			continue
		}
		if member, ok := m.members[mirror.ID]; ok && core.ProcessIncarnation(member.Incarnation) != mirror.Process {
			lost++
			continue
		}
		if m.mirrorEnded(mirror) {
			if recovery.endedAt[mirror.ID] == 0 {
				recovery.endedAt[mirror.ID] = now
			}
			if now >= recovery.endedAt[mirror.ID]+lostMirrorLeases*m.params.Core.MemberLease {
				lost++
			}
		}
		m.send(mirror.Address, CopyQuery{Tenant: prog.record.Tenant, Program: prog.record.ID, Fence: prog.record.Fence})
	}
	if lost == len(recovery.mirrors) {
		// All that was charged in advance may have been spent.
		m.Counters.MirrorsLost++
		prog.record.Spent = max(prog.record.Spent, prog.record.Precharged)
		m.finishRecovery(now, prog)
	}
}

// onCopyAnswer adopts a mirror's copy if it is newer than the record from the cores.
func (m *Machine) onCopyAnswer(now time.Duration, answer CopyAnswer) {
	prog := m.programs[answer.Tenant+"/"+answer.Program]
	if prog == nil || prog.recovery == nil || answer.Fence != prog.record.Fence {
		return
	}
	recovery := prog.recovery
	if !slices.ContainsFunc(recovery.mirrors, func(mirror program.Mirror) bool { return mirror.Process == answer.Process }) {
		return
	}
	if answer.Found && answer.Record.Fence == recovery.formerFence && answer.Record.Version > prog.record.Version {
		m.Counters.MirrorsUsed++
		record := answer.Record
		record.ChargeRunning()
		record.Fence, record.Node, record.Incarnation, record.Address =
			prog.record.Fence, prog.record.Node, prog.record.Incarnation, prog.record.Address
		prog.record = record
		for _, t := range answer.Turns {
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

// awaitRecovery refuses a request if the mirrors don't answer by the step's deadline.
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

// opener returns the member whose current incarnation opened a program, according to its id. It is
// tried first, so that no core is needed to find the owner.
func (m *Machine) opener(id string) (core.Member, bool) {
	for _, name := range ordered.Keys(m.members) {
		member := m.members[name]
		prefix := "p-" + member.ID + "-" + member.Incarnation + "-"
		if name != m.params.ID && !member.Ended && len(id) > len(prefix) && id[:len(prefix)] == prefix {
			return member, true
		}
	}
	return core.Member{}, false
}

// MirrorsOf lists the addresses of a program's other mirrors, or nil if this node doesn't own it.
func (m *Machine) MirrorsOf(tenant, id string) (list []string) {
	if prog := m.programs[tenant+"/"+id]; prog != nil {
		for _, mirror := range m.otherMirrors(prog.savedMirrors) {
			list = append(list, mirror.Address)
		}
	}
	return list
}
