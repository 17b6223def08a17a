package placement

import (
	"hash/fnv"
	"math"
)

// homes are the replicas that every node would pick for a prompt if it knew nothing else:
// the first ones by rendezvous hashing (Thaler and Ravishankar 1998) of what tells the
// prompt's conversation from others. So a conversation's turns meet the parts that its
// earlier ones left, whichever node they come through. Replicas of the node's zone go
// before others.
type homes struct {
	first, second           *Replica
	firstScore, secondScore score
}

// score orders replicas for one conversation.
type score struct {
	near bool
	rank float64
}

func (s score) above(other score) bool {
	if s.near != other.near {
		return s.near
	}
	return s.rank > other.rank
}

func (p *Policy) homesOf(request Request, replicas []*Replica, allowed func(*Replica) bool) (h homes) {
	key, ok := request.homeKey()
	if !ok || !p.Settings.Homes {
		return h
	}
	// What a replica saves of a request for a thing that it knows outweighs the way to
	// another zone, and all zones have requests for it.
	isZonal := p.Settings.Zones && !request.hasAffinity()
	for _, r := range replicas {
		if allowed(r) {
			h.add(r, score{near: isZonal && r.Zone == p.Zone, rank: rank(mix(key^r.hash()), p.slowness(request, r))})
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

// rank orders replicas by weighted rendezvous hashing: a slow one is the home of fewer
// conversations. Slowness counts in steps, so that homes stay where they are while it is
// measured anew.
func rank(hash uint64, slowness float64) float64 {
	const steps = 4
	slowness = math.Round(slowness*steps) / steps
	weight := 1 / (slowness * slowness * slowness * slowness)
	where := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(where)
}

// hasAffinity reports whether a request's home goes by the thing that it concerns.
func (r Request) hasAffinity() bool { return r.Affinity != 0 && len(r.Prompt) == 0 }

// homeKey is by what a request has a home.
func (r Request) homeKey() (uint64, bool) {
	if r.hasAffinity() {
		return r.Affinity, true
	}
	return conversation(r.Prompt)
}

// conversation is what tells a prompt's conversation from others: its second part, as
// the first one is shared by many.
func conversation(prompt []Part) (uint64, bool) {
	if len(prompt) < 2 {
		return 0, false
	}
	return prompt[1].ID, true
}

// goesOn reports whether a prompt goes on from earlier turns of its conversation: it has
// more than the shared part and its own first one.
func goesOn(prompt []Part) bool { return len(prompt) > 2 }

// hash is a replica's number in rendezvous hashing.
func (r *Replica) hash() uint64 {
	if r.hashed == 0 {
		h := fnv.New64a()
		h.Write([]byte(r.ID))
		r.hashed = h.Sum64() | 1
	}
	return r.hashed
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
