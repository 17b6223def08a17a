package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The test's service: places at which turns run one after the other, first come first
// served, as at replicas that know no priorities.
const (
	places    = 60
	turnTime  = 250 * time.Millisecond
	pauseTime = 150 * time.Millisecond
	turns     = 5
	step      = 10 * time.Millisecond
	// aim is when a program should be done: it takes 1.85 s where nothing waits.
	aim = 2800 * time.Millisecond
	// carried is how many programs a second the places can serve.
	carried = float64(places) / (turns * 0.25)
)

type program struct {
	id       string
	began    time.Duration
	turn     int
	tries    int
	readyAt  time.Duration
	endsAt   time.Duration
	waiting  bool
	isUrgent bool
}

// service is simulated in steps; it counts the programs that end in time, by second.
type service struct {
	random   *rand.Rand
	control  *Controller
	programs []*program
	queue    []*program
	running  int
	inTime   map[int]int
	told     map[int]int
}

func (s *service) classOf(now time.Duration, p *program) Class {
	switch {
	case now > p.began+aim:
		return Late
	case p.turn == 0 && p.isUrgent:
		return NewUrgent
	case p.turn == 0:
		return New
	}
	return Exempt
}

// advance moves each program by one step. A refused turn comes back twice, after a time.
func (s *service) advance(now time.Duration) {
	for _, p := range s.programs {
		switch {
		case p.endsAt > 0 && now >= p.endsAt:
			s.running--
			p.endsAt, p.turn, p.tries, p.readyAt = 0, p.turn+1, 0, now+pauseTime
			if p.turn == turns && now <= p.began+aim {
				s.inTime[int(p.began/time.Second)]++
			}
		case p.endsAt == 0 && !p.waiting && p.turn < turns && now >= p.readyAt:
			if s.control != nil && !s.control.Admits(s.classOf(now, p), p.id) {
				p.tries++
				p.readyAt = now + 400*time.Millisecond
				if p.tries > 2 {
					p.turn = turns + 1
				}
				continue
			}
			p.waiting = true
			s.queue = append(s.queue, p)
		}
	}
	s.programs = slices.DeleteFunc(s.programs, func(p *program) bool { return p.turn >= turns })
	for s.running < places && len(s.queue) > 0 {
		p := s.queue[0]
		s.queue = s.queue[1:]
		p.waiting, p.endsAt = false, now+turnTime
		s.running++
	}
}

// play offers programs at a multiple of what the places carry, by second, and returns how
// many of each second end in time for each that could be served.
func play(seed uint64, controlled bool, offered []float64) []float64 {
	s := &service{random: rand.New(rand.NewPCG(seed, 1)), inTime: map[int]int{}, told: map[int]int{}}
	if controlled {
		s.control = &Controller{}
	}
	due := 0.0
	for now := time.Duration(0); now < time.Duration(len(offered)+6)*time.Second; now += step {
		if second := int(now / time.Second); second < len(offered) {
			for due += offered[second] * carried * step.Seconds(); due >= 1; due-- {
				s.programs = append(s.programs, &program{id: fmt.Sprint(len(s.programs), "-", now), began: now, isUrgent: s.random.IntN(3) == 0})
			}
		}
		s.advance(now)
		if s.control != nil && now%(100*time.Millisecond) == 0 {
			s.control.Observe(now, float64(s.running+len(s.queue))/places-1)
		}
	}
	var shares []float64
	for second := range offered {
		shares = append(shares, float64(s.inTime[second])/carried)
	}
	return shares
}

func mean(shares []float64) (sum float64) {
	for _, one := range shares {
		sum += one
	}
	return sum / float64(len(shares))
}

func profile(calm float64, calmFor int, load float64, loadFor, after int) (offered []float64) {
	for range calmFor {
		offered = append(offered, calm)
	}
	for range loadFor {
		offered = append(offered, load)
	}
	for range after {
		offered = append(offered, calm)
	}
	return offered
}

// TestOverloadBends: at 1.3 and 2 times what can be carried, and on, at least 0.75 of the
// best is served in time; without control nearly nothing is. After a burst, calm's part
// is served within two seconds.
func TestOverloadBends(t *testing.T) {
	best := mean(play(1, false, profile(0.8, 10, 0.8, 10, 0))[4:18])
	for _, load := range []float64{1.3, 2} {
		for seed := range uint64(20) {
			offered := profile(0.7, 6, load, 16, 8)
			controlled, free := play(seed, true, offered), play(seed, false, offered)
			// The first two seconds are those in which it is noticed.
			if got := mean(controlled[8:22]); got < 0.75*best {
				t.Errorf("seed %d at %.1f: %.2f in time; the best is %.2f", seed, load, got, best)
			}
			if got := mean(free[12:22]); got > 0.3*best {
				t.Errorf("seed %d at %.1f: %.2f in time without control: the test does not overload", seed, load, got)
			}
			if got := mean(controlled[24:]); got < 0.9*0.7 {
				t.Errorf("seed %d at %.1f: %.2f of %.2f in time from two seconds after the burst on", seed, load, got, 0.7)
			}
		}
	}
}

// TestCalmIsLeftAlone: nothing is refused while the places suffice.
func TestCalmIsLeftAlone(t *testing.T) {
	for seed := range uint64(20) {
		offered := profile(0.75, 10, 0.8, 10, 0)
		if controlled, free := mean(play(seed, true, offered)), mean(play(seed, false, offered)); controlled < free-0.01 {
			t.Errorf("seed %d: %.3f in time, and %.3f without control", seed, controlled, free)
		}
	}
}

// TestOrderOfRefusal: late before new, new before urgent, and nothing else ever; some of
// each class is let in at any level.
func TestOrderOfRefusal(t *testing.T) {
	var c Controller
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		c.Observe(now, 3)
		if c.RefusedFraction(Exempt) != 0 || c.RefusedFraction(Late) < c.RefusedFraction(New) || c.RefusedFraction(New) < c.RefusedFraction(NewUrgent) {
			t.Fatalf("at %v: late %v, new %v, urgent %v", now, c.RefusedFraction(Late), c.RefusedFraction(New), c.RefusedFraction(NewUrgent))
		}
	}
	for _, class := range []Class{Late, New, NewUrgent} {
		if r := c.RefusedFraction(class); r < 0.8 || r > 0.95 {
			t.Errorf("class %d: %v is refused at the highest level", class, r)
		}
	}
	for now := 20 * time.Second; now < 22*time.Second; now += 100 * time.Millisecond {
		c.Observe(now, -0.5)
	}
	if c.RefusedFraction(Late) != 0 {
		t.Errorf("%v of late turns are refused after two calm seconds", c.RefusedFraction(Late))
	}
}
