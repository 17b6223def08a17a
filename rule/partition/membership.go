package partition

import (
	"time"
)

type memberChange struct {
	requestID uint64
	group     Group
	adding    string
	step      int
	// began and heard are when the change began and when the seat to be added was
	// last heard of.
	startedAt, heardAt time.Duration
	// held is since when writes wait for that seat to catch up.
	heldSince time.Duration
}

const (
	// silentTerms is after how many terms without a sign of the seat to be added
	// a change is given up, longestTerms after how many it is in any case.
	maxSilentLeases = 8
	maxChangeLeases = 30
	// nearly is by how many writes a seat may be behind for the owner to hold its
	// next write back until the seat has caught up.
	catchUpWrites = 8
)

// Change asks the owner to move its group: one seat to add, one to remove,
// either may be empty. The seat that comes takes the place of the one that goes.
// Where that one has gone already, there is nothing to do.
func (m *Machine) ChangeMembers(now time.Duration, requestID uint64, add, remove string) Output {
	m.out = &Output{}
	lead := m.leading
	if _, ok := m.LeadingTerm(now); !ok {
		m.out.Results = append(m.out.Results, Result{RequestID: requestID, NotLeader: true})
		return *m.out
	}
	members := []string{}
	pendingAdd := add != "" && !contains(lead.group.Members, add)
	for _, s := range lead.group.Members {
		if s == remove {
			if !pendingAdd {
				continue
			}
			s, pendingAdd = add, false
		}
		members = append(members, s)
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
	m.change = &memberChange{requestID: requestID, adding: add, startedAt: now, heardAt: now,
		group: Group{Term: lead.term, Epoch: lead.group.Epoch + 1, Members: members, Former: lead.group.Members}}
	if add != "" && !lead.group.Has(add) {
		lead.completeSeq[add] = 0
		delete(lead.snapshotSentAt, add)
		m.scheduleSnapshot(now, add)
	}
	m.advanceChange(now)
	return *m.out
}

// Changing reports whether a change is under way, and which seat it adds as long
// as it can still be given up.
func (m *Machine) ChangeInProgress() (adding string, changing bool) {
	switch {
	case m.change == nil:
		return "", m.leading != nil && len(m.leading.group.Former) > 0
	case m.change.step > 0:
		return "", true
	}
	return m.change.adding, true
}

// Agreed is the group that the owner's seats have agreed on last.
func (m *Machine) CommittedGroup() (Group, bool) {
	if m.leading == nil || !m.leading.serving {
		return Group{}, false
	}
	return m.leading.committedGroup, true
}

// GiveUp ends a change whose new group was not proposed yet.
func (m *Machine) AbortChange(now time.Duration) Output {
	m.out = &Output{}
	m.abortChange(now)
	return *m.out
}

func (m *Machine) abortChange(now time.Duration) {
	if m.change == nil || m.change.step > 0 {
		return
	}
	m.out.Results = append(m.out.Results, Result{RequestID: m.change.requestID, Body: false})
	m.change = nil
	m.flush(now)
}

// Order puts the seats of a group, which stay the same, in another order. The
// first one is the part's home.
func (m *Machine) ReorderMembers(now time.Duration, members []string) Output {
	m.out = &Output{}
	lead := m.leading
	if _, ok := m.LeadingTerm(now); !ok || m.change != nil || lead.pending != nil || lead.queuedGroup != nil || len(lead.group.Former) > 0 || !sameMembers(members, lead.group.Members) {
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
	for _, s := range a {
		if !contains(b, s) {
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
	case 0:
		if c.adding != "" && lead.completeSeq[c.adding] < lead.committedSeq {
			if lead.completeSeq[c.adding]+catchUpWrites >= lead.committedSeq && now >= c.heldSince+m.params.LeaseDuration/4 {
				c.heldSince = now
			}
			return
		}
		c.step = 1
		group := c.group
		lead.queuedGroup = &group
		m.flush(now)
	case 1:
		c.step = 2
		lead.queuedGroup = &Group{Term: lead.term, Epoch: c.group.Epoch + 1, Members: c.group.Members}
		m.flush(now)
	case 2:
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

// holding reports whether writes wait for the seat to be added.
func (m *Machine) writesHeld(now time.Duration) bool {
	c, lead := m.change, m.leading
	return c != nil && c.step == 0 && c.adding != "" && c.heldSince > 0 && now < c.heldSince+m.params.LeaseDuration/8 && lead.completeSeq[c.adding] < lead.committedSeq
}

func (m *Machine) noteNewMember(now time.Duration, from string) {
	if m.change != nil && m.change.adding == from {
		m.change.heardAt = now
	}
}
