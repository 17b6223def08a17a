package relay

import (
	"container/list"
	"time"
)

// turn is a stored turn of a conversation. There is one for each name at a time.
type turn struct {
	turnName
	// previous are the attempt IDs of the turns before it, oldest first.
	previous []string
	input    []byte
	output   []byte
	// storedUntil is the time until which the cores certainly store the turn.
	storedUntil time.Duration
	// users are the requests under way whose history it belongs to.
	users int
	// element is its place in the cache; nil if it is not cached.
	element *list.Element
}

// turnName includes the tenant: requesters choose attempt IDs, which are unique only within it.
type turnName struct{ tenant, attempt string }

// Approximate memory besides the contents, in bytes: of a turn, and of an ID in its list.
const (
	turnOverheadBytes = 200
	idOverheadBytes   = 16
)

func (t *turn) size() int64 {
	size := len(t.input) + len(t.output) + len(t.attempt) + turnOverheadBytes
	for _, id := range t.previous {
		size += len(id) + idOverheadBytes
	}
	return int64(size)
}

// turnCache holds the turns that the cores are known to store: an LRU cache of them, and those that
// requests under way use, cached or not. Turns refer to each other by name only, so that it holds nothing
// beyond the bytes that it counts.
type turnCache struct {
	turns   map[turnName]*turn
	recency *list.List
	// bytes is the size of the cached turns, usedBytes that of the turns with users.
	bytes, usedBytes       int64
	maxBytes, maxUsedBytes int64
}

// defaultHistoryBytes is the default memory for the turns in use.
const defaultHistoryBytes = 64 << 20

// newTurnCache returns an empty cache; zero for maxUsedBytes selects the default.
func newTurnCache(maxBytes, maxUsedBytes int64) *turnCache {
	if maxUsedBytes == 0 {
		maxUsedBytes = defaultHistoryBytes
	}
	return &turnCache{turns: map[turnName]*turn{}, recency: list.New(), maxBytes: maxBytes, maxUsedBytes: maxUsedBytes}
}

// get returns a turn that is still stored, or nil.
func (c *turnCache) get(now time.Duration, name turnName) *turn {
	t := c.turns[name]
	if t == nil || now >= t.storedUntil {
		return nil
	}
	if t.element != nil {
		c.recency.MoveToBack(t.element)
	}
	return t
}

// put caches a turn and returns the one to use for its name, which may be known already. One that is
// larger than the cache is not cached.
func (c *turnCache) put(t *turn) *turn {
	if known := c.turns[t.turnName]; known != nil {
		known.storedUntil = max(known.storedUntil, t.storedUntil)
		t = known
	}
	c.turns[t.turnName] = t
	if t.element == nil {
		t.element = c.recency.PushBack(t)
		c.bytes += t.size()
	}
	for c.bytes > c.maxBytes {
		c.evict(c.recency.Front().Value.(*turn))
	}
	return t
}

func (c *turnCache) evict(t *turn) {
	c.recency.Remove(t.element)
	t.element = nil
	c.bytes -= t.size()
	c.forgetUnused(t)
}

// use keeps a turn for a request under way, until release.
func (c *turnCache) use(t *turn) {
	if t.users == 0 {
		c.usedBytes += t.size()
	}
	t.users++
	c.turns[t.turnName] = t
}

func (c *turnCache) release(t *turn) {
	if t.users--; t.users == 0 {
		c.usedBytes -= t.size()
		c.forgetUnused(t)
	}
}

func (c *turnCache) forgetUnused(t *turn) {
	if t.users == 0 && t.element == nil {
		delete(c.turns, t.turnName)
	}
}

// usedUp reports whether the requests under way use as much memory as they may.
func (c *turnCache) usedUp() bool { return c.usedBytes >= c.maxUsedBytes }
