package placement

import (
	"hash/fnv"
	"math"
)

// homes are the two best replicas by rendezvous hashing (Thaler and Ravishankar 1998). Nodes in a
// zone agree on them without coordination, so the turns of a conversation reach the replica that has
// cached the earlier ones, whichever node they come through.
type homes struct {
	first, second           *Replica
	firstScore, secondScore score
}

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

// homesOf returns nil replicas if the request has no home key.
func (p *Policy) homesOf(request Request, replicas []*Replica, allowed func(*Replica) bool) (h homes) {
	key, ok := request.homeKey()
	if !ok || !p.Settings.HomeReplicas {
		return h
	}
	// Requests with one affinity key come from all zones, and a cache hit saves more than a
	// cross-zone hop costs.
	preferLocal := p.Settings.LocalZone && !request.hasAffinity()
	for _, r := range replicas {
		if allowed(r) {
			h.add(r, score{
				local: preferLocal && r.Zone == p.Zone,
				rank:  rank(mix(key^r.hash()), p.slowness(request, r)),
			})
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

// rank weights rendezvous hashing by speed: a slow replica is the home of fewer conversations.
// Slowness is rounded, so that small changes of the estimate move few homes.
func rank(hash uint64, slowness float64) float64 {
	const steps = 4
	slowness = math.Round(slowness*steps) / steps
	weight := 1 / (slowness * slowness * slowness * slowness)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// hasAffinity reports whether the affinity key selects the home; a prompt takes precedence.
func (r Request) hasAffinity() bool { return r.Affinity != 0 && len(r.Prompt) == 0 }

func (r Request) homeKey() (uint64, bool) {
	if r.hasAffinity() {
		return r.Affinity, true
	}
	return conversationKey(r.Prompt)
}

// conversationKey returns the ID of the second segment; many conversations share the first.
func conversationKey(prompt []PromptSegment) (uint64, bool) {
	if len(prompt) < 2 {
		return 0, false
	}
	return prompt[1].ID, true
}

// continuesConversation reports whether a prompt contains earlier turns of its conversation.
func continuesConversation(prompt []PromptSegment) bool { return len(prompt) > 2 }

// hash returns the hash of the ID. It is nonzero; zero means not yet computed.
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
