package relay

import (
	"container/list"
	"time"
)

// turn is a stored turn of a conversation, linked to the turns before it.
type turn struct {
	attempt  string
	tenant   string
	previous *turn
	input    []byte
	output   []byte
	// storedUntil is the time until which the cores certainly store the turn.
	storedUntil time.Duration
	element     *list.Element
}

// turnOverheadBytes approximates the memory of a cached turn besides its contents.
const turnOverheadBytes = 200

func (t *turn) size() int64 {
	return int64(len(t.input)+len(t.output)+len(t.attempt)) + turnOverheadBytes
}

// attemptIDs lists the turn and all before it, oldest first.
func (t *turn) attemptIDs() []string {
	var ids []string
	for t := t; t != nil; t = t.previous {
		ids = append(ids, t.attempt)
	}
	for i, j := 0, len(ids)-1; i < j; i, j = i+1, j-1 {
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids
}

// history lists the inputs and outputs of the turn and all before it, oldest first.
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

// turnCache is an LRU cache of turns that the cores are known to store.
type turnCache struct {
	turns    map[turnName]*turn
	recency  *list.List
	bytes    int64
	maxBytes int64
}

// turnName includes the tenant: requesters choose attempt IDs, which are unique only within it.
type turnName struct{ tenant, attempt string }

func (t *turn) name() turnName { return turnName{tenant: t.tenant, attempt: t.attempt} }

func newTurnCache(maxBytes int64) *turnCache {
	return &turnCache{turns: map[turnName]*turn{}, recency: list.New(), maxBytes: maxBytes}
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
	c.recency.MoveToBack(t.element)
	return t
}

func (c *turnCache) put(t *turn) {
	if old := c.turns[t.name()]; old != nil {
		c.remove(old)
	}
	c.turns[t.name()] = t
	t.element = c.recency.PushBack(t)
	c.bytes += t.size()
	for c.bytes > c.maxBytes && c.recency.Len() > 1 {
		c.remove(c.recency.Front().Value.(*turn))
	}
}

func (c *turnCache) remove(t *turn) {
	c.recency.Remove(t.element)
	delete(c.turns, t.name())
	c.bytes -= t.size()
}
