package placement

import (
	"hash/fnv"
	"math"
)

// homes are the home replica of a conversation and the next candidate by rendezvous hashing
// (Thaler and Ravishankar 1998). All nodes compute the same homes without coordination, so the turns of
// a conversation reach the replica that has cached its earlier turns, whichever node they
// come through. Replicas in the node's zone rank above others.
type homes struct {
	first, second           *Replica
	firstScore, secondScore score
}

// score orders replicas for one conversation.
type score struct {
	local bool
	rank  float64
}

func (s score) above(other score) bool {
	if s.local != other.local {
		return s.local
	}
	return s.rank > other.rank
}

// homesOf returns the homes of a request, or nil replicas if it has no key for one.
func (p *Policy) homesOf(request Request, replicas []*Replica, allowed func(*Replica) bool) (h homes) {
	key, ok := request.homeKey()
	if !ok || !p.Settings.HomeReplicas {
		return h
	}
	// With an affinity key the zone is ignored: requests with one key come from all zones,
	// and a replica that has served the key saves more than a cross-zone hop costs.
	preferLocal := p.Settings.LocalZone && !request.hasAffinity()
	for _, r := range replicas {
		if allowed(r) {
			h.add(r, score{local: preferLocal && r.Zone == p.Zone, rank: rank(mix(key^r.hash()), p.slowness(request, r))})
		}
	}
	return h
}

func (h *homes) add(r *Replica, s score) {
	switch {
	case h.first == nil || s.above(h.firstScore):
		h.second, h.secondScore = h.first, h.firstScore
		h.first, h.firstScore = r, s
	case h.second == nil || s.above(h.secondScore):
		h.second, h.secondScore = r, s
	}
}

// rank is the score of weighted rendezvous hashing: a slow replica is the home of fewer
// conversations. Slowness is rounded, so that small changes of the estimate move no homes.
func rank(hash uint64, slowness float64) float64 {
	const steps = 4
	slowness = math.Round(slowness*steps) / steps
	weight := 1 / (slowness * slowness * slowness * slowness)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// hasAffinity reports whether the home of a request is chosen by its affinity key.
func (r Request) hasAffinity() bool { return r.Affinity != 0 && len(r.Prompt) == 0 }

// homeKey returns the hash key that selects the home of a request, if it has one.
func (r Request) homeKey() (uint64, bool) {
	if r.hasAffinity() {
		return r.Affinity, true
	}
	return conversationKey(r.Prompt)
}

// conversationKey returns the ID of a prompt's second segment, which identifies the
// conversation. The first segment is shared by many conversations.
func conversationKey(prompt []PromptSegment) (uint64, bool) {
	if len(prompt) < 2 {
		return 0, false
	}
	return prompt[1].ID, true
}

// continuesConversation reports whether a prompt contains earlier turns of its conversation:
// more than the shared segment and the first one of its own.
func continuesConversation(prompt []PromptSegment) bool { return len(prompt) > 2 }

// hash returns the nonzero hash of the replica's ID, computed once.
func (r *Replica) hash() uint64 {
	if r.idHash == 0 {
		h := fnv.New64a()
		h.Write([]byte(r.ID))
		r.idHash = h.Sum64() | 1
	}
	return r.idHash
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
