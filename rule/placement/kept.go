package placement

import "time"

// keptParts are the parts of prompts that a replica is believed to have kept: those that
// this node sent there, while the replica has room for them. The one that was unused
// longest gives way first.
type keptParts struct {
	parts  map[uint64]keptPart
	tokens int64
}

type keptPart struct {
	tokens int64
	usedAt time.Duration
}

func newKeptParts() keptParts {
	return keptParts{parts: map[uint64]keptPart{}}
}

func (k *keptParts) add(now time.Duration, prompt []Part, room int64) {
	for _, p := range prompt {
		if _, kept := k.parts[p.ID]; !kept {
			k.tokens += p.Tokens
		}
		k.parts[p.ID] = keptPart{tokens: p.Tokens, usedAt: now}
	}
	for k.tokens > room && len(k.parts) > 1 {
		k.dropOldest()
	}
}

func (k *keptParts) dropOldest() {
	var oldest uint64
	first := true
	for id, part := range k.parts {
		if first || part.usedAt < k.parts[oldest].usedAt {
			oldest, first = id, false
		}
	}
	k.tokens -= k.parts[oldest].tokens
	delete(k.parts, oldest)
}

// unread is how many tokens of a prompt the replica would have to read: a part is found
// only if all before it are.
func (k *keptParts) unread(prompt []Part) int64 {
	var unread int64
	kept := true
	for _, p := range prompt {
		if kept {
			_, kept = k.parts[p.ID]
		}
		if !kept {
			unread += p.Tokens
		}
	}
	return unread
}
