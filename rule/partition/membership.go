package partition

import (
	"time"
)

type memberChange struct {
	requestID uint64
	group     Group // the joint group
	adding    string
	step      int
	// lastAckAt is when the member to be added last acknowledged a message, initially startedAt.
	startedAt, lastAckAt time.Duration
	// heldSince is when writes were last held back for that member to catch up.
	heldSince time.Duration
}

const (
	stepCatchUp = iota // the member to be added receives a snapshot and writes
	stepJoint          // the joint group is proposed
	stepFinal          // the group without former members is proposed
)

const (
	// A change in stepCatchUp is aborted after maxSilentLeases leases without an acknowledgement
	// of the member to be added, and after maxChangeLeases leases in any case.
	maxSilentLeases = 8
	maxChangeLeases = 30
	// The leader holds back its next write for a new member that lacks at most catchUpWrites.
	catchUpWrites = 8
	// The interval and duration of holding back writes, as divisors of the lease duration.
	holdIntervalDivisor = 4
	holdDurationDivisor = 8
)

// ChangeMembers adds one member and removes one; either may be empty. An added member takes the
// position of the removed one. The Result's body is true once the group is as requested or if there
// is no such member to remove, false if the change was aborted or another one is in progress.
func (m *Machine) ChangeMembers(now time.Duration, requestID uint64, add, remove string) Output {
	m.out = &Output{}
	lead := m.leading
	if _, ok := m.LeadingTerm(now); !ok {
		m.out.Results = append(m.out.Results, Result{RequestID: requestID, NotLeader: true})
		return *m.out
	}
	members := []string{}
	pendingAdd := add != "" && !contains(lead.group.Members, add)
	for _, member := range lead.group.Members {
		if member == remove {
			if !pendingAdd {
				continue
			}
			member, pendingAdd = add, false
		}
		members = append(members, member)
	}
	if pendingAdd {
		members = append(members, add)
	}
	if m.change != nil || len(lead.group.Former) > 0 || len(members) == 0 {
		m.out.Results = append(m.out.Results, Result{RequestID: requestID, Body: false})
		return *m.out
	}
	if sameMembers(members, lead.group.Members) || (remove != "" && !contains(lead.group.Members, remove)) {
		m.out.Results = append(m.out.Results, Result{RequestID: requestID, Body: true})
		return *m.out
	}
	m.change = &memberChange{requestID: requestID, adding: add, startedAt: now, lastAckAt: now,
		group: Group{Term: lead.term, Epoch: lead.group.Epoch + 1, Members: members, Former: lead.group.Members}}
	if add != "" && !lead.group.Has(add) {
		lead.completeSeq[add] = 0
		delete(lead.snapshotSentAt, add)
		m.scheduleSnapshot(now, add)
	}
	m.advanceChange(now)
	return *m.out
}

// ChangeInProgress reports whether a membership change is in progress. While the change can still
// be aborted, it also returns the member to be added.
func (m *Machine) ChangeInProgress() (adding string, changing bool) {
	switch {
	case m.change == nil:
		return "", m.leading != nil && len(m.leading.group.Former) > 0
	case m.change.step > stepCatchUp:
		return "", true
	}
	return m.change.adding, true
}

// CommittedGroup returns the last committed group, or false if this member doesn't serve as the
// leader.
func (m *Machine) CommittedGroup() (Group, bool) {
	if m.leading == nil || !m.leading.serving {
		return Group{}, false
	}
	return m.leading.committedGroup, true
}

// AbortChange aborts a membership change unless its joint group was proposed.
func (m *Machine) AbortChange(now time.Duration) Output {
	m.out = &Output{}
	m.abortChange(now)
	return *m.out
}

func (m *Machine) abortChange(now time.Duration) {
	if m.change == nil || m.change.step > stepCatchUp {
		return
	}
	m.out.Results = append(m.out.Results, Result{RequestID: m.change.requestID, Body: false})
	m.change = nil
	m.flush(now)
}

// ReorderMembers changes the order of the group's members. It does nothing if the members differ or
// if a write or change is in progress.
func (m *Machine) ReorderMembers(now time.Duration, members []string) Output {
	m.out = &Output{}
	lead := m.leading
	if _, ok := m.LeadingTerm(now); !ok || m.change != nil || lead.pending != nil ||
		lead.queuedGroup != nil || len(lead.group.Former) > 0 || !sameMembers(members, lead.group.Members) {
		return *m.out
	}
	lead.queuedGroup = &Group{Term: lead.term, Epoch: lead.group.Epoch + 1, Members: append([]string(nil), members...)}
	m.flush(now)
	return *m.out
}

func sameMembers(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		if !contains(b, member) {
			return false
		}
	}
	return true
}

func (m *Machine) advanceChange(now time.Duration) {
	c, lead := m.change, m.leading
	if c == nil || lead == nil || lead.pending != nil {
		return
	}
	switch c.step {
	case stepCatchUp:
		if c.adding != "" && lead.completeSeq[c.adding] < lead.committedSeq {
			if lead.completeSeq[c.adding]+catchUpWrites >= lead.committedSeq &&
				now >= c.heldSince+m.params.LeaseDuration/holdIntervalDivisor {
				c.heldSince = now
			}
			return
		}
		c.step = stepJoint
		group := c.group
		lead.queuedGroup = &group
		m.flush(now)
	case stepJoint:
		c.step = stepFinal
		lead.queuedGroup = &Group{Term: lead.term, Epoch: c.group.Epoch + 1, Members: c.group.Members}
		m.flush(now)
	case stepFinal:
		m.out.Results = append(m.out.Results, Result{RequestID: c.requestID, Body: true})
		m.change = nil
		for _, member := range c.group.Former {
			if !lead.group.Has(member) && member != m.member {
				m.send(member, Reject{Term: lead.term, Promised: lead.term, Group: lead.group}, false)
			}
		}
		if !lead.group.Has(m.member) {
			m.record(Record{Group: &Group{Term: lead.group.Term, Epoch: lead.group.Epoch, Members: lead.group.Members}})
		}
	}
}

func (m *Machine) writesHeld(now time.Duration) bool {
	c, lead := m.change, m.leading
	return c != nil && c.step == stepCatchUp && c.adding != "" &&
		c.heldSince > 0 && now < c.heldSince+m.params.LeaseDuration/holdDurationDivisor &&
		lead.completeSeq[c.adding] < lead.committedSeq
}

func (m *Machine) recordNewMemberAck(now time.Duration, from string) {
	if m.change != nil && m.change.adding == from {
		m.change.lastAckAt = now
	}
}
