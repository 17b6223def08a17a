package placement

// sampler samples the node's zone and other zones in one pass over a list, without copying it.
type sampler struct {
	policy        *Policy
	local, remote selection
}

// selection is the state of selection sampling: how many items are still wanted, and how many are
// not yet visited.
type selection struct {
	wanted, left int
}

// newSampler returns a sampler of wanted local replicas and half as many remote ones.
func newSampler(policy *Policy, wanted int, replicas []*Replica, allowed func(*Replica) bool) *sampler {
	s := &sampler{policy: policy}
	for _, r := range replicas {
		if allowed(r) {
			s.selectionOf(r).left++
		}
	}
	s.local.wanted, s.remote.wanted = wanted, (wanted+1)/2
	return s
}

func (s *sampler) selectionOf(r *Replica) *selection {
	if r.Zone == s.policy.Zone {
		return &s.local
	}
	return &s.remote
}

// sampled must be called exactly once for each allowed replica.
func (s *sampler) sampled(r *Replica) bool {
	sel := s.selectionOf(r)
	taken := s.policy.Random()*float64(sel.left) < float64(sel.wanted)
	sel.left--
	if taken {
		sel.wanted--
	}
	return taken
}
