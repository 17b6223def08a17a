package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
)

// client sends commands directly to the cores. Faults never affect it.
type client struct {
	process    *process
	caller     *core.Caller
	partitions int
}

// addClient requires that the fleet is founded.
func (w *World) addClient(id, address string) *client {
	p := w.add(id, 0, address)
	c := &client{process: p}
	p.client = c
	c.caller = &core.Caller{
		Retry:      coreParams().AttemptTimeout,
		Random:     w.random.Float64,
		Send:       func(to string, body any) { w.send(p, to, body) },
		Cores:      w.coreAddresses,
		Partitions: func() int { return c.partitions },
	}
	p.boot()
	return c
}

func (w *World) coreAddresses() (list []string) {
	for _, s := range w.presentStores() {
		list = append(list, s.core.address)
	}
	return list
}

// call retries a command until it is answered or the timeout expires.
func (c *client) call(command any, within time.Duration, done func(o core.Outcome)) {
	now := c.process.now()
	c.caller.Call(now, command, now+within, func(now time.Duration, o core.Outcome) { done(o) })
}

func (c *client) tick(now time.Duration) { c.caller.Tick(now) }

func (c *client) receive(now time.Duration, from string, body any) {
	if r, ok := body.(core.CommandResult); ok {
		c.caller.Receive(now, from, r)
	}
}

// encodedSize is the size on the wire, in bytes.
func encodedSize(body any) int { return len(message.Pack(body)) }
