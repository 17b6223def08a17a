package relay

import (
	"container/list"
	"time"
)

// turn is one kept turn and, by its former one, all before it.
type turn struct {
	attempt string
	tenant  string
	former  *turn
	input   []byte
	output  []byte
	// until is up to when the cores surely keep it.
	until time.Duration
	place *list.Element
}

func (t *turn) size() int64 { return int64(len(t.input)+len(t.output)+len(t.attempt)) + 200 }

// names lists the attempts of a turn and all before it, oldest first.
func (t *turn) names() []string {
	var names []string
	for at := t; at != nil; at = at.former {
		names = append(names, at.attempt)
	}
	for i, j := 0, len(names)-1; i < j; i, j = i+1, j-1 {
		names[i], names[j] = names[j], names[i]
	}
	return names
}

// said lists inputs and outputs, oldest first.
func (t *turn) said() [][]byte {
	var parts [][]byte
	for at := t; at != nil; at = at.former {
		parts = append(parts, at.output, at.input)
	}
	for i, j := 0, len(parts)-1; i < j; i, j = i+1, j-1 {
		parts[i], parts[j] = parts[j], parts[i]
	}
	return parts
}

// cache holds the kept turns that this node knows to be kept. What is not here
// is asked of the cores: the cache saves a way and decides nothing.
type cache struct {
	turns map[turnName]*turn
	order *list.List
	bytes int64
	most  int64
}

// turnName names a turn: requesters choose the ids of attempts, so an id means
// something only together with its tenant.
type turnName struct{ tenant, attempt string }

func (t *turn) name() turnName { return turnName{tenant: t.tenant, attempt: t.attempt} }

func newCache(most int64) *cache {
	return &cache{turns: map[turnName]*turn{}, order: list.New(), most: most}
}

func (c *cache) get(now time.Duration, tenant, attempt string) *turn {
	t := c.turns[turnName{tenant: tenant, attempt: attempt}]
	if t == nil {
		return nil
	}
	for at := t; at != nil; at = at.former {
		if now >= at.until {
			return nil
		}
	}
	c.order.MoveToBack(t.place)
	return t
}

func (c *cache) put(t *turn) {
	if old := c.turns[t.name()]; old != nil {
		c.drop(old)
	}
	c.turns[t.name()] = t
	t.place = c.order.PushBack(t)
	c.bytes += t.size()
	for c.bytes > c.most && c.order.Len() > 1 {
		c.drop(c.order.Front().Value.(*turn))
	}
}

func (c *cache) drop(t *turn) {
	c.order.Remove(t.place)
	delete(c.turns, t.name())
	c.bytes -= t.size()
}
