package placement

import "time"

// promptCache models the least-recently-used cache of a replica. It knows only the segments that
// this node sent there.
type promptCache struct {
	segments map[uint64]cachedSegment
	tokens   int64
}

type cachedSegment struct {
	tokens int64
	usedAt time.Duration
}

func newPromptCache() promptCache {
	return promptCache{segments: map[uint64]cachedSegment{}}
}

// add records the use of a prompt. The capacity is in tokens.
func (c *promptCache) add(now time.Duration, prompt []PromptSegment, capacity int64) {
	for _, s := range prompt {
		if _, cached := c.segments[s.ID]; !cached {
			c.tokens += s.Tokens
		}
		c.segments[s.ID] = cachedSegment{tokens: s.Tokens, usedAt: now}
	}
	for c.tokens > capacity && len(c.segments) > 1 {
		c.evictOldest()
	}
}

func (c *promptCache) evictOldest() {
	var oldest uint64
	first := true
	for id, segment := range c.segments {
		if first || segment.usedAt < c.segments[oldest].usedAt {
			oldest, first = id, false
		}
	}
	c.tokens -= c.segments[oldest].tokens
	delete(c.segments, oldest)
}

// missing counts the tokens that are not cached. A segment is a hit only if all before it are.
func (c *promptCache) missing(prompt []PromptSegment) int64 {
	var missing int64
	cached := true
	for _, s := range prompt {
		if cached {
			_, cached = c.segments[s.ID]
		}
		if !cached {
			missing += s.Tokens
		}
	}
	return missing
}
