package core

import (
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/slab"
)

// Outcome is what became of a command. An unsure one may have been done.
type Outcome struct {
	Answer any
	Unsure bool
	Sent   bool
}

// Caller gets commands to the owners of parts, over and over until their
// budget has passed. Commands bear repeating.
type Caller struct {
	Retry  time.Duration
	Random func() float64
	Send   func(to string, body any)
	Anyone func() []string
	// Others are members that may pass a command on when cores stay silent.
	Others func() []string
	Parts  func() int
	hints  map[int]string
	// leaders are who was last known to lead each partition. One that left a command
	// without an answer for long is not known to.
	leaders map[int]string
	calls   slab.Slab[*call]
	pending map[slab.Ticket]*call
	salt    uint64
	// Tries counts the attempts made.
	Tries int64
	// asked is when the first command went out since anybody was heard of;
	// unanswered says that one did.
	asked      time.Duration
	unanswered bool
}

// Silent is for how long commands have gone out with no word from any core.
func (c *Caller) Silent(now time.Duration) time.Duration {
	if !c.unanswered {
		return 0
	}
	return now - c.asked
}

type call struct {
	ticket  slab.Ticket
	part    int
	raw     []byte
	until   time.Duration
	again   time.Duration
	tries   int
	outcome func(now time.Duration, o Outcome)
}

// Call sends a command; its outcome comes exactly once.
func (c *Caller) Call(now time.Duration, command any, until time.Duration, outcome func(now time.Duration, o Outcome)) {
	if c.Parts() == 0 {
		outcome(now, Outcome{Unsure: true})
		return
	}
	k := &call{part: Target(c.Parts(), command), raw: message.Pack(command), until: until, outcome: outcome}
	k.ticket = c.calls.Put(k)
	if c.pending == nil {
		c.pending, c.hints = map[slab.Ticket]*call{}, map[int]string{}
	}
	c.pending[k.ticket] = k
	c.try(now, k)
}

const (
	// steadyTries is how often a command is tried at the pace of Retry: for longer
	// than a request waits for it, and than a partition needs for another leader.
	// After that, each try waits one Retry longer than the one before.
	steadyTries = 20
	// slowestRetries is how many retry periods lie between two tries at the most.
	slowestRetries = 32
)

func (c *Caller) try(now time.Duration, k *call) {
	to := c.hints[k.part]
	if to == "" {
		all := c.Anyone()
		if c.Others != nil && k.tries >= 2 && k.tries%2 == 0 {
			if others := c.Others(); len(others) > 0 {
				all = others
			}
		}
		if len(all) == 0 {
			k.again = now + c.Retry
			return
		}
		to = all[int(c.Random()*float64(len(all)))%len(all)]
	}
	k.tries++
	c.Tries++
	if !c.unanswered {
		c.asked, c.unanswered = now, true
	}
	k.again = now + c.Retry*time.Duration(min(max(k.tries-steadyTries, 1), slowestRetries))
	c.Send(to, Command{ID: c.Mark(k.ticket), Part: k.part, Raw: k.raw})
}

// Hint tells who owns a part.
func (c *Caller) Hint(number int, address string) {
	if c.hints == nil {
		c.pending, c.hints = map[slab.Ticket]*call{}, map[int]string{}
	}
	c.hints[number] = address
	c.wake(number, address)
}

// wake has what waited long for a partition tried at once, where it is known for the
// first time that somebody leads it, or that somebody else does.
func (c *Caller) wake(number int, leader string) {
	if c.leaders == nil {
		c.leaders = map[int]string{}
	}
	if c.leaders[number] == leader {
		return
	}
	c.leaders[number] = leader
	for _, k := range c.pending {
		if k.part == number && k.tries > steadyTries {
			k.again = 0
		}
	}
}

// Mark turns a ticket into an id that no other life of this process gives out,
// so that a return to an earlier life finds nothing here.
func (c *Caller) Mark(t slab.Ticket) uint64 {
	for c.salt == 0 {
		c.salt = uint64(c.Random()*(1<<31))<<31 | uint64(c.Random()*(1<<31))
	}
	return uint64(t) ^ c.salt
}

// Unmark turns an id back into a ticket.
func (c *Caller) Unmark(id uint64) slab.Ticket { return slab.Ticket(c.Mark(slab.Ticket(id))) }

// HintOf is who is thought to own a part.
func (c *Caller) HintOf(number int) string { return c.hints[number] }

// Tick tries again what got no answer, and ends what has no budget left.
func (c *Caller) Tick(now time.Duration) {
	var due []*call
	for _, t := range ordered.Keys(c.pending) {
		if k := c.pending[t]; now >= k.until || now >= k.again {
			due = append(due, k)
		}
	}
	for _, k := range due {
		if now >= k.until {
			c.end(now, k, Outcome{Unsure: true, Sent: k.tries > 0})
			continue
		}
		delete(c.hints, k.part)
		if k.tries == steadyTries {
			delete(c.leaders, k.part)
		}
		c.try(now, k)
	}
}

func (c *Caller) end(now time.Duration, k *call, o Outcome) {
	if _, ok := c.calls.Take(k.ticket); !ok {
		return
	}
	delete(c.pending, k.ticket)
	k.outcome(now, o)
}

// Receive takes an answer.
func (c *Caller) Receive(now time.Duration, from string, r CommandReturn) {
	c.unanswered = false
	k, ok := c.calls.Get(c.Unmark(r.ID))
	switch {
	case !ok:
	case r.Moved:
		if r.Hint != "" && r.Hint != from && c.hints[k.part] != r.Hint {
			c.hints[k.part] = r.Hint
			c.try(now, k)
			return
		}
		delete(c.hints, k.part)
		k.again = now + c.Retry/4
	case r.Unsure:
		k.again = now + c.Retry/4
	default:
		answer, err := message.Open(r.Raw)
		if err != nil {
			return
		}
		c.hints[k.part] = from
		c.end(now, k, Outcome{Answer: answer, Sent: true})
		c.wake(k.part, from)
	}
}

// Waiting is how many commands have no outcome yet.
func (c *Caller) Waiting() int { return c.calls.Len() }
