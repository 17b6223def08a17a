package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/route"
)

const (
	// smallTurnBytes is the size up to which a turn claims room only in a crowded partition.
	smallTurnBytes = 64 << 10
	// outputBytesPerToken bounds the output of a turn that its requester only bounds in tokens.
	outputBytesPerToken = 16
	// crowdedFor is how long a partition counts as crowded for a tenant after it was last said to be.
	crowdedFor = 10 * time.Second
	// turnClaimRetries is how long the answer to a claim is awaited, in attempt timeouts.
	turnClaimRetries = 2
)

// crowdedPartition is a partition whose memory for turns a tenant has used up in good part.
type crowdedPartition struct {
	partition int
	tenant    string
}

// historyState is what a request's stored turns need before it is sent.
type historyState struct {
	fetchingHistory bool
	claimingRoom    bool
	history         history
}

func (h historyState) pending() bool { return h.fetchingHistory || h.claimingRoom }

// turnStore is what the node knows of stored turns.
type turnStore struct {
	cache       *turnCache
	recentTurns recentTurns
	// reads are the reads of turns under way.
	reads     map[turnName]*turnRead
	turnReads int64
	// crowded has the time until which partitions count as crowded.
	crowded map[crowdedPartition]time.Duration
}

// keepsTurn reports whether the request's turn is stored when it has run.
func (req *activeRequest) keepsTurn() bool {
	return req.route.Mode == route.Stream && req.route.KeepHistory
}

// claimTurnRoom claims memory of the cores for a turn that is large, or meets a crowded partition. A turn
// whose claim isn't answered in time runs without one, as all did before there were claims.
func (m *Machine) claimTurnRoom(now time.Duration, req *activeRequest) {
	bytes := int64(len(req.spec.Input)) + outputBytesPerToken*min(req.spec.MaxTokens, smallTurnBytes)
	place := m.placeOfTurn(req)
	if bytes <= smallTurnBytes && now >= m.crowded[place] {
		return
	}
	req.claimingRoom = true
	command := core.ClaimTurnRoom{
		Tenant:  place.tenant,
		Attempt: req.spec.Attempt,
		Bytes:   bytes,
		Working: req.deadline - now,
	}
	wait := min(req.admissionDeadline, now+turnClaimRetries*m.params.Core.AttemptTimeout)
	m.caller.Call(now, command, wait, func(now time.Duration, o core.Outcome) {
		if req.completed {
			return
		}
		req.claimingRoom = false
		room, ok := o.Answer.(core.TurnRoom)
		if ok {
			m.noteCrowded(now, place, room.Crowded)
		}
		if ok && !room.OK {
			m.refuse(now, req, CauseTurnsFull)
			return
		}
		m.sendWhenReady(now, req)
	})
}

func (m *Machine) placeOfTurn(req *activeRequest) crowdedPartition {
	partitions := max(len(m.topology.Leaders), 1)
	return crowdedPartition{partition: core.TurnPartition(partitions, req.spec.Attempt), tenant: m.tenantName(req)}
}

// noteCrowded records what a partition's leader said last.
func (m *Machine) noteCrowded(now time.Duration, place crowdedPartition, crowded bool) {
	if crowded {
		m.crowded[place] = now + crowdedFor
		return
	}
	delete(m.crowded, place)
}

// forgetCrowded drops what is out of date.
func (m *Machine) forgetCrowded(now time.Duration) {
	for place, until := range m.crowded {
		if now >= until {
			delete(m.crowded, place)
		}
	}
}
