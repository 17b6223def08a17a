package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the simulated service, which runs turns in FIFO order without priorities.
const (
	slots      = 60
	turnTime   = 250 * time.Millisecond
	pauseTime  = 150 * time.Millisecond
	retryDelay = 400 * time.Millisecond
	maxRetries = 2
	turns      = 5
	step       = 10 * time.Millisecond
	// deadline is counted from the start of a program, which takes 1.85 s without queueing.
	deadline = 2800 * time.Millisecond
	// capacity is the number of programs that the slots can serve per second.
	capacity = slots * float64(time.Second) / (turns * float64(turnTime))
)

type program struct {
	id        string
	startedAt time.Duration
	turn      int
	refusals  int
	readyAt   time.Duration
	endsAt    time.Duration
	queued    bool
	urgent    bool
}

type service struct {
	random     *rand.Rand
	controller *Controller
	programs   []*program
	queue      []*program
	running    int
	// onTime counts the programs that met their deadline, by the second of their start.
	onTime map[int]int
}

func (s *service) classOf(now time.Duration, p *program) Class {
	switch {
	case now > p.startedAt+deadline:
		return LateTurn
	case p.turn == 0 && p.urgent:
		return UrgentFirstTurn
	case p.turn == 0:
		return FirstTurn
	}
	return Exempt
}

func (s *service) advance(now time.Duration) {
	for _, p := range s.programs {
		switch {
		case p.endsAt > 0 && now >= p.endsAt:
			s.running--
			p.endsAt, p.turn, p.refusals, p.readyAt = 0, p.turn+1, 0, now+pauseTime
			if p.turn == turns && now <= p.startedAt+deadline {
				s.onTime[int(p.startedAt/time.Second)]++
			}
		case p.endsAt == 0 && !p.queued && p.turn < turns && now >= p.readyAt:
			if s.controller != nil && !s.controller.Admits(s.classOf(now, p), p.id) {
				p.refusals++
				p.readyAt = now + retryDelay
				if p.refusals > maxRetries {
					p.turn = turns + 1
				}
				continue
			}
			p.queued = true
			s.queue = append(s.queue, p)
		}
	}
	s.programs = slices.DeleteFunc(s.programs, func(p *program) bool { return p.turn >= turns })
	for s.running < slots && len(s.queue) > 0 {
		p := s.queue[0]
		s.queue = s.queue[1:]
		p.queued, p.endsAt = false, now+turnTime
		s.running++
	}
}

// simulate starts programs at the given multiples of the capacity, one for each second. It
// returns the goodput of each second as a fraction of the capacity.
func simulate(seed uint64, controlled bool, offered []float64) []float64 {
	s := &service{random: rand.New(rand.NewPCG(seed, 1)), onTime: map[int]int{}}
	if controlled {
		s.controller = &Controller{}
	}
	pending := 0.0
	for now := time.Duration(0); now < time.Duration(len(offered)+6)*time.Second; now += step {
		if second := int(now / time.Second); second < len(offered) {
			for pending += offered[second] * capacity * step.Seconds(); pending >= 1; pending-- {
				s.programs = append(s.programs, &program{id: fmt.Sprint(len(s.programs), "-", now), startedAt: now, urgent: s.random.IntN(3) == 0})
			}
		}
		s.advance(now)
		if s.controller != nil && now%(100*time.Millisecond) == 0 {
			s.controller.Observe(now, float64(s.running+len(s.queue))/slots-1)
		}
	}
	var fractions []float64
	for second := range offered {
		fractions = append(fractions, float64(s.onTime[second])/capacity)
	}
	return fractions
}

func mean(fractions []float64) (sum float64) {
	for _, f := range fractions {
		sum += f
	}
	return sum / float64(len(fractions))
}

// loadProfile returns the offered load of each second: base, then peak, then base again.
func loadProfile(base float64, before int, peak float64, during, after int) (offered []float64) {
	for range before {
		offered = append(offered, base)
	}
	for range during {
		offered = append(offered, peak)
	}
	for range after {
		offered = append(offered, base)
	}
	return offered
}

// TestGoodputUnderOverload also runs without a controller, to confirm that the load is an overload.
func TestGoodputUnderOverload(t *testing.T) {
	best := mean(simulate(1, false, loadProfile(0.8, 10, 0.8, 10, 0))[4:18])
	for _, load := range []float64{1.3, 2} {
		for seed := range uint64(20) {
			offered := loadProfile(0.7, 6, load, 16, 8)
			controlled, uncontrolled := simulate(seed, true, offered), simulate(seed, false, offered)
			// The controller has two seconds to react.
			if got := mean(controlled[8:22]); got < 0.75*best {
				t.Errorf("seed %d, load %.1f: goodput %.2f, best %.2f", seed, load, got, best)
			}
			if got := mean(uncontrolled[12:22]); got > 0.3*best {
				t.Errorf("seed %d, load %.1f: goodput %.2f without a controller; the load is no overload", seed, load, got)
			}
			if got := mean(controlled[24:]); got < 0.9*0.7 {
				t.Errorf("seed %d, load %.1f: goodput %.2f of %.2f from two seconds after the overload", seed, load, got, 0.7)
			}
		}
	}
}

func TestGoodputWithoutOverload(t *testing.T) {
	for seed := range uint64(20) {
		offered := loadProfile(0.75, 10, 0.8, 10, 0)
		if controlled, uncontrolled := mean(simulate(seed, true, offered)), mean(simulate(seed, false, offered)); controlled < uncontrolled-0.01 {
			t.Errorf("seed %d: goodput %.3f, without a controller %.3f", seed, controlled, uncontrolled)
		}
	}
}

// TestRefusalOrder also guards against refusing exempt requests or a whole class.
func TestRefusalOrder(t *testing.T) {
	var c Controller
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		c.Observe(now, 3)
		if c.RefusedFraction(Exempt) != 0 || c.RefusedFraction(LateTurn) < c.RefusedFraction(FirstTurn) || c.RefusedFraction(FirstTurn) < c.RefusedFraction(UrgentFirstTurn) {
			t.Fatalf("at %v: refused fraction of late turns %v, first turns %v, urgent first turns %v", now, c.RefusedFraction(LateTurn), c.RefusedFraction(FirstTurn), c.RefusedFraction(UrgentFirstTurn))
		}
	}
	for _, class := range []Class{LateTurn, FirstTurn, UrgentFirstTurn} {
		if r := c.RefusedFraction(class); r < 0.8 || r > 0.95 {
			t.Errorf("class %d: refused fraction %v at the maximum level", class, r)
		}
	}
	for now := 20 * time.Second; now < 22*time.Second; now += 100 * time.Millisecond {
		c.Observe(now, -0.5)
	}
	if c.RefusedFraction(LateTurn) != 0 {
		t.Errorf("refused fraction of late turns is %v two seconds after the overload", c.RefusedFraction(LateTurn))
	}
}
