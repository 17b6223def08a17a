package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
)

// client calls the cores directly, as nodes and desks do, and stands outside of
// the fleet's faults.
type client struct {
	process *process
	caller  *core.Caller
	parts   int
}

// addClient adds a client at an address of its own. The fleet must be founded.
func (w *World) addClient(id, address string) *client {
	p := w.add(id, 0, address)
	c := &client{process: p}
	p.client = c
	c.caller = &core.Caller{
		Retry:      coreParams().AttemptTimeout,
		Random:     w.random.Float64,
		Send:       func(to string, body any) { w.send(p, to, body) },
		Cores:      w.coreAddresses,
		Partitions: func() int { return c.parts },
	}
	p.boot()
	return c
}

// coreAddresses lists where the cores of the fleet are.
func (w *World) coreAddresses() (list []string) {
	for _, s := range w.present() {
		list = append(list, s.core.address)
	}
	return list
}

// call sends a command until it is answered or a time has passed.
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

// sizeOf is how long a message is on the wire.
func sizeOf(body any) int { return len(message.Pack(body)) }
