package relay

import (
	"container/list"
	"time"
)

// turn is one kept turn and, by its former one, all before it.
type turn struct {
	attempt  string
	tenant   string
	previous *turn
	input    []byte
	output   []byte
	// until is up to when the cores surely keep it.
	storedUntil time.Duration
	element     *list.Element
}

func (t *turn) size() int64 { return int64(len(t.input)+len(t.output)+len(t.attempt)) + 200 }

// names lists the attempts of a turn and all before it, oldest first.
func (t *turn) attemptIDs() []string {
	var names []string
	for t := t; t != nil; t = t.previous {
		names = append(names, t.attempt)
	}
	for i, j := 0, len(names)-1; i < j; i, j = i+1, j-1 {
		names[i], names[j] = names[j], names[i]
	}
	return names
}

// said lists inputs and outputs, oldest first.
func (t *turn) history() [][]byte {
	var parts [][]byte
	for t := t; t != nil; t = t.previous {
		parts = append(parts, t.output, t.input)
	}
	for i, j := 0, len(parts)-1; i < j; i, j = i+1, j-1 {
		parts[i], parts[j] = parts[j], parts[i]
	}
	return parts
}

// cache holds the kept turns that this node knows to be kept. What is not here
// is asked of the cores: the cache saves a way and decides nothing.
type turnCache struct {
	turns    map[turnName]*turn
	order    *list.List
	bytes    int64
	maxBytes int64
}

// turnName names a turn: requesters choose the ids of attempts, so an id means
// something only together with its tenant.
type turnName struct{ tenant, attempt string }

func (t *turn) name() turnName { return turnName{tenant: t.tenant, attempt: t.attempt} }

func newTurnCache(most int64) *turnCache {
	return &turnCache{turns: map[turnName]*turn{}, order: list.New(), maxBytes: most}
}

func (c *turnCache) get(now time.Duration, tenant, attempt string) *turn {
	t := c.turns[turnName{tenant: tenant, attempt: attempt}]
	if t == nil {
		return nil
	}
	for t := t; t != nil; t = t.previous {
		if now >= t.storedUntil {
			return nil
		}
	}
	c.order.MoveToBack(t.element)
	return t
}

func (c *turnCache) put(t *turn) {
	if old := c.turns[t.name()]; old != nil {
		c.remove(old)
	}
	c.turns[t.name()] = t
	t.element = c.order.PushBack(t)
	c.bytes += t.size()
	for c.bytes > c.maxBytes && c.order.Len() > 1 {
		c.remove(c.order.Front().Value.(*turn))
	}
}

func (c *turnCache) remove(t *turn) {
	c.order.Remove(t.element)
	delete(c.turns, t.name())
	c.bytes -= t.size()
}
