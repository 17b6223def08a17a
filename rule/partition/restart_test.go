package partition

import (
	"testing"
	"time"
)

// restart begins a new life of a seat with what its disk holds.
func (b *bench) restart(seat string) {
	old := b.seats[seat]
	b.seats[seat] = New(Options{Params: old.params, Seat: seat, Rules: registers{}, Copy: old.copy, Now: b.now, Random: func() float64 { return 0.5 }})
}

// TestFormerOwnerNeedNotWait: whoever owned the part knows that its own hold is
// over, so after all have lost their processes it serves again at once, and as
// soon as a majority is back.
func TestFormerOwnerNeedNotWait(t *testing.T) {
	group := []string{"a", "b", "c"}
	for _, late := range []time.Duration{0, 30 * time.Millisecond, 70 * time.Millisecond} {
		b := newBench(t, group, group...)
		b.pass(500 * time.Millisecond)
		former := b.owner()
		b.run(former, put{"k", "v"})
		var others []string
		for _, s := range group {
			if s != former {
				others = append(others, s)
			}
		}
		down := map[string]bool{}
		b.lost = func(from, to string, body any) bool { return down[from] || down[to] }
		b.box = nil
		for _, s := range group {
			b.restart(s)
		}
		for _, s := range others {
			down[s] = true
		}
		b.pass(late)
		for _, s := range others {
			delete(down, s)
			b.restart(s)
		}
		began := b.now
		for b.owner() == "" && b.now < began+time.Second {
			b.pass(5 * time.Millisecond)
		}
		if took := b.now - began; b.owner() != former || took > 30*time.Millisecond {
			t.Errorf("%v after the former owner the others are back; %q owns after %v", late, b.owner(), took)
		}
		b.want("k", "v")
	}
}

// TestFormerOwnerWaitsForAnother: a seat whose promise is another's waits as long
// as that one may hold the part.
func TestFormerOwnerWaitsForAnother(t *testing.T) {
	group := []string{"a", "b", "c"}
	b := newBench(t, group, group...)
	b.pass(500 * time.Millisecond)
	former := b.owner()
	for _, s := range group {
		if s != former {
			b.restart(s)
			b.seats[s].Tick(b.now)
			if b.seats[s].owning != nil {
				t.Errorf("%s stands at once against %s", s, former)
			}
		}
	}
	b.pass(20 * time.Millisecond)
	if b.owner() != former {
		t.Errorf("%q owns and not %s", b.owner(), former)
	}
}
