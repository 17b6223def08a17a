package placement

// draw takes some replicas of the node's zone and some of others at random, in one pass
// over a list and without a copy of it.
type draw struct {
	policy    *Policy
	near, far selection
}

// selection takes so many of what is left, each as likely as the next.
type selection struct {
	wanted, left int
}

func newDraw(p *Policy, wanted int, replicas []*Replica, allowed func(*Replica) bool) *draw {
	d := &draw{policy: p}
	for _, r := range replicas {
		if allowed(r) {
			d.of(r).left++
		}
	}
	d.near.wanted, d.far.wanted = wanted, (wanted+1)/2
	return d
}

func (d *draw) of(r *Replica) *selection {
	if r.Zone == d.policy.Zone {
		return &d.near
	}
	return &d.far
}

// takes reports whether the next allowed replica of the list is drawn.
func (d *draw) takes(r *Replica) bool {
	s := d.of(r)
	taken := d.policy.Random()*float64(s.left) < float64(s.wanted)
	s.left--
	if taken {
		s.wanted--
	}
	return taken
}
