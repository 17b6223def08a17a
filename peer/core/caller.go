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
	Cores  func() []string
	// Others are members that may pass a command on when cores stay silent.
	Forwarders func() []string
	Partitions func() int
	hints      map[int]string
	// leaders are who was last known to lead each partition. One that left a command
	// without an answer for long is not known to.
	leaders map[int]string
	calls   slab.Slab[*pendingCall]
	pending map[slab.Ticket]*pendingCall
	salt    uint64
	// Tries counts the attempts made.
	Attempts int64
	// asked is when the first command went out since anybody was heard of;
	// unanswered says that one did.
	unansweredSince time.Duration
	unanswered      bool
}

// Silent is for how long commands have gone out with no word from any core.
func (c *Caller) SilentFor(now time.Duration) time.Duration {
	if !c.unanswered {
		return 0
	}
	return now - c.unansweredSince
}

type pendingCall struct {
	ticket    slab.Ticket
	partition int
	raw       []byte
	deadline  time.Duration
	retryAt   time.Duration
	attempts  int
	outcome   func(now time.Duration, o Outcome)
}

// Call sends a command; its outcome comes exactly once.
func (c *Caller) Call(now time.Duration, command any, until time.Duration, outcome func(now time.Duration, o Outcome)) {
	if c.Partitions() == 0 {
		outcome(now, Outcome{Unsure: true})
		return
	}
	k := &pendingCall{partition: Target(c.Partitions(), command), raw: message.Pack(command), deadline: until, outcome: outcome}
	k.ticket = c.calls.Keep(k)
	if c.pending == nil {
		c.pending, c.hints = map[slab.Ticket]*pendingCall{}, map[int]string{}
	}
	c.pending[k.ticket] = k
	c.attempt(now, k)
}

const (
	// steadyTries is how often a command is tried at the pace of Retry: for longer
	// than a request waits for it, and than a partition needs for another leader.
	// After that, each try waits one Retry longer than the one before.
	fixedDelayAttempts = 20
	// slowestRetries is how many retry periods lie between two tries at the most.
	maxDelayRetries = 32
)

func (c *Caller) attempt(now time.Duration, k *pendingCall) {
	to := c.hints[k.partition]
	if to == "" {
		all := c.Cores()
		if c.Forwarders != nil && k.attempts >= 2 && k.attempts%2 == 0 {
			if others := c.Forwarders(); len(others) > 0 {
				all = others
			}
		}
		if len(all) == 0 {
			k.retryAt = now + c.Retry
			return
		}
		to = all[int(c.Random()*float64(len(all)))%len(all)]
	}
	k.attempts++
	c.Attempts++
	if !c.unanswered {
		c.unansweredSince, c.unanswered = now, true
	}
	k.retryAt = now + c.Retry*time.Duration(min(max(k.attempts-fixedDelayAttempts, 1), maxDelayRetries))
	c.Send(to, Command{ID: c.MessageID(k.ticket), Part: k.partition, Raw: k.raw})
}

// Hint tells who owns a part.
func (c *Caller) SetLeader(number int, address string) {
	if c.hints == nil {
		c.pending, c.hints = map[slab.Ticket]*pendingCall{}, map[int]string{}
	}
	c.hints[number] = address
	c.retryWaiting(number, address)
}

// wake has what waited long for a partition tried at once, where it is known for the
// first time that somebody leads it, or that somebody else does.
func (c *Caller) retryWaiting(number int, leader string) {
	if c.leaders == nil {
		c.leaders = map[int]string{}
	}
	if c.leaders[number] == leader {
		return
	}
	c.leaders[number] = leader
	for _, k := range c.pending {
		if k.partition == number && k.attempts > fixedDelayAttempts {
			k.retryAt = 0
		}
	}
}

// Mark turns a ticket into an id that no other life of this process gives out,
// so that a return to an earlier life finds nothing here.
func (c *Caller) MessageID(t slab.Ticket) uint64 {
	for c.salt == 0 {
		c.salt = uint64(c.Random()*(1<<31))<<31 | uint64(c.Random()*(1<<31))
	}
	return uint64(t) ^ c.salt
}

// Unmark turns an id back into a ticket.
func (c *Caller) Ticket(id uint64) slab.Ticket { return slab.Ticket(c.MessageID(slab.Ticket(id))) }

// HintOf is who is thought to own a part.
func (c *Caller) Leader(number int) string { return c.hints[number] }

// Tick tries again what got no answer, and ends what has no budget left.
func (c *Caller) Tick(now time.Duration) {
	var due []*pendingCall
	for _, t := range ordered.Keys(c.pending) {
		if k := c.pending[t]; now >= k.deadline || now >= k.retryAt {
			due = append(due, k)
		}
	}
	for _, k := range due {
		if now >= k.deadline {
			c.finish(now, k, Outcome{Unsure: true, Sent: k.attempts > 0})
			continue
		}
		delete(c.hints, k.partition)
		if k.attempts == fixedDelayAttempts {
			delete(c.leaders, k.partition)
		}
		c.attempt(now, k)
	}
}

func (c *Caller) finish(now time.Duration, k *pendingCall, o Outcome) {
	if _, ok := c.calls.Take(k.ticket); !ok {
		return
	}
	delete(c.pending, k.ticket)
	k.outcome(now, o)
}

// Receive takes an answer.
func (c *Caller) Receive(now time.Duration, from string, r CommandReturn) {
	c.unanswered = false
	k, ok := c.calls.Look(c.Ticket(r.ID))
	switch {
	case !ok:
	case r.Moved:
		if r.Hint != "" && r.Hint != from && c.hints[k.partition] != r.Hint {
			c.hints[k.partition] = r.Hint
			c.attempt(now, k)
			return
		}
		delete(c.hints, k.partition)
		k.retryAt = now + c.Retry/4
	case r.Unsure:
		k.retryAt = now + c.Retry/4
	default:
		answer, err := message.Open(r.Raw)
		if err != nil {
			return
		}
		c.hints[k.partition] = from
		c.finish(now, k, Outcome{Answer: answer, Sent: true})
		c.retryWaiting(k.partition, from)
	}
}

// Waiting is how many commands have no outcome yet.
func (c *Caller) Pending() int { return c.calls.Used() }
