package core

import (
	"slices"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/slab"
)

// Outcome is the result of a command. If Uncertain, the command was not answered before its
// deadline and may or may not have run. Sent reports whether it was sent at all.
type Outcome struct {
	Answer    any
	Uncertain bool
	Sent      bool
}

// Caller sends idempotent commands to the leaders of partitions and retries each until it is
// answered or its deadline passes. All functions but Forwarders must be set.
type Caller struct {
	// Retry is the interval between the first attempts at a command.
	Retry  time.Duration
	Random func() float64
	Send   func(to string, body any)
	Cores  func() []string
	// Forwarders returns processes that can forward a command if the cores don't answer.
	Forwarders func() []string
	// Partitions returns zero while the number is not known.
	Partitions func() int
	// hints are the addresses for the next attempts, by partition.
	hints map[int]string
	// leaders are the last known ones, removed when all attempts at the fixed interval stayed
	// unanswered.
	leaders map[int]string
	calls   slab.Slab[*pendingCall]
	pending map[slab.Ticket]*pendingCall
	// salt makes message IDs differ from those of other incarnations.
	salt uint64
	// Attempts counts the commands sent, with retries.
	Attempts int64
	// unansweredSince is when the first command was sent since the last answer, if unanswered.
	unansweredSince time.Duration
	unanswered      bool
}

// SilentFor returns how long commands have been sent without an answer from any core.
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
	// sentTo is where the last attempt went.
	sentTo  string
	outcome func(now time.Duration, o Outcome)
}

// Call sends a command and calls outcome exactly once, at the latest in the first Tick after until.
// While the number of partitions is not known, only operators' commands to the configuration
// partition are sent; others end at once.
func (c *Caller) Call(now time.Duration, command any, until time.Duration, outcome func(now time.Duration, o Outcome)) {
	if c.Partitions() == 0 && !isConfigurationCommand(command) {
		outcome(now, Outcome{Uncertain: true})
		return
	}
	pending := &pendingCall{partition: TargetPartition(c.Partitions(), command), raw: message.Pack(command), deadline: until, outcome: outcome}
	pending.ticket = c.calls.Put(pending)
	if c.pending == nil {
		c.pending, c.hints = map[slab.Ticket]*pendingCall{}, map[int]string{}
	}
	c.pending[pending.ticket] = pending
	c.attempt(now, pending)
}

// isConfigurationCommand reports whether a command has the same partition in every fleet.
func isConfigurationCommand(command any) bool {
	switch command.(type) {
	case ReadTable, AcceptTable, FindOrder, RetireCore:
		return true
	}
	return false
}

const (
	// fixedDelayAttempts is the number of attempts at intervals of Retry, enough to outlast an
	// election. Each later interval is one Retry longer than the last.
	fixedDelayAttempts = 20
	// maxDelayRetries is the longest interval, in units of Retry.
	maxDelayRetries = 32
	// rejectedDelayDivisor shortens the interval after an answer without a result.
	rejectedDelayDivisor = 4
)

// candidates returns the addresses of the cores, and of the partition's last known leader if it is
// none of them.
func (c *Caller) candidates(partition int) []string {
	addresses := c.Cores()
	if leader := c.leaders[partition]; leader != "" && !slices.Contains(addresses, leader) {
		addresses = append(addresses, leader)
	}
	return addresses
}

// attempt sends a command to the presumed leader, or else to a random core or forwarder.
func (c *Caller) attempt(now time.Duration, call *pendingCall) {
	to := c.hints[call.partition]
	if to == "" {
		addresses := c.candidates(call.partition)
		if c.Forwarders != nil && call.attempts >= 2 && call.attempts%2 == 0 {
			if forwarders := c.Forwarders(); len(forwarders) > 0 {
				addresses = forwarders
			}
		}
		if len(addresses) == 0 {
			call.retryAt = now + c.Retry
			return
		}
		to = addresses[int(c.Random()*float64(len(addresses)))%len(addresses)]
	}
	call.attempts++
	call.sentTo = to
	c.Attempts++
	if !c.unanswered {
		c.unansweredSince, c.unanswered = now, true
	}
	call.retryAt = now + c.Retry*time.Duration(min(max(call.attempts-fixedDelayAttempts, 1), maxDelayRetries))
	c.Send(to, Command{ID: c.MessageID(call.ticket), Partition: call.partition, Raw: call.raw})
}

// SetLeader records the address of a partition's leader.
func (c *Caller) SetLeader(partition int, address string) {
	if c.hints == nil {
		c.pending, c.hints = map[slab.Ticket]*pendingCall{}, map[int]string{}
	}
	c.hints[partition] = address
	c.retryWaiting(partition, address)
}

// retryWaiting makes commands whose last attempt went elsewhere due at once if the partition's leader
// is new.
func (c *Caller) retryWaiting(partition int, leader string) {
	if c.leaders == nil {
		c.leaders = map[int]string{}
	}
	if c.leaders[partition] == leader {
		return
	}
	c.leaders[partition] = leader
	for _, k := range c.pending {
		if k.partition == partition && (k.sentTo != leader || k.attempts > fixedDelayAttempts) {
			k.retryAt = 0
		}
	}
}

// MessageID turns a ticket into an ID that no other incarnation of this process uses. A result for
// an earlier incarnation then matches no ticket here.
func (c *Caller) MessageID(t slab.Ticket) uint64 {
	for c.salt == 0 {
		c.salt = uint64(c.Random()*(1<<31))<<31 | uint64(c.Random()*(1<<31))
	}
	return uint64(t) ^ c.salt
}

// Ticket is the inverse of MessageID.
func (c *Caller) Ticket(id uint64) slab.Ticket { return slab.Ticket(c.MessageID(slab.Ticket(id))) }

// Leader returns the address of a partition's presumed leader, or "".
func (c *Caller) Leader(partition int) string { return c.hints[partition] }

// Tick retries commands that are due. Those past their deadline end with an uncertain outcome.
func (c *Caller) Tick(now time.Duration) {
	var due []*pendingCall
	for _, t := range ordered.Keys(c.pending) {
		if k := c.pending[t]; now >= k.deadline || now >= k.retryAt {
			due = append(due, k)
		}
	}
	for _, call := range due {
		if now >= call.deadline {
			c.finish(now, call, Outcome{Uncertain: true, Sent: call.attempts > 0})
			continue
		}
		c.dropHint(call.partition, call.sentTo)
		if call.attempts == fixedDelayAttempts {
			delete(c.leaders, call.partition)
		}
		c.attempt(now, call)
	}
}

// dropHint forgets an address that did not answer as the leader, unless another one became known.
func (c *Caller) dropHint(partition int, address string) {
	if c.hints[partition] == address {
		delete(c.hints, partition)
	}
}

func (c *Caller) finish(now time.Duration, call *pendingCall, result Outcome) {
	if _, ok := c.calls.Take(call.ticket); !ok {
		return
	}
	delete(c.pending, call.ticket)
	call.outcome(now, result)
}

// Receive handles a core's answer.
func (c *Caller) Receive(now time.Duration, from string, result CommandResult) {
	c.unanswered = false
	call, ok := c.calls.Get(c.Ticket(result.ID))
	switch {
	case !ok:
	case result.NotLeader:
		if result.LeaderHint != "" && result.LeaderHint != from && c.hints[call.partition] != result.LeaderHint {
			c.hints[call.partition] = result.LeaderHint
			c.attempt(now, call)
			return
		}
		c.dropHint(call.partition, from)
		call.retryAt = now + c.Retry/rejectedDelayDivisor
	case result.Uncertain:
		call.retryAt = now + c.Retry/rejectedDelayDivisor
	default:
		answer, err := message.Open(result.Raw)
		if err != nil {
			return
		}
		c.hints[call.partition] = from
		c.finish(now, call, Outcome{Answer: answer, Sent: true})
		c.retryWaiting(call.partition, from)
	}
}

// Pending returns the number of commands without an outcome.
func (c *Caller) Pending() int { return c.calls.Len() }
