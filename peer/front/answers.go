package front

import (
	"context"
	"net/http"
	"slices"
	"time"

	"saffronfall/peer/clock"
	"saffronfall/peer/replica"
)

const (
	defaultAnswerBytes = 256 << 20
	// freeAnswerBytes is the size up to which an answer takes no room. The send buffer holds it, so that
	// its requester can't hold it up.
	freeAnswerBytes = 16 << 10
	// minDelivery is how long a requester may take to read an answer before it may be aborted for others.
	minDelivery = 50 * time.Millisecond
	// abortInterval is the pause between attempts to make room.
	abortInterval = 20 * time.Millisecond
)

// answerRoom limits the memory of the large answers that are buffered, while they come from replicas
// and until their requesters have read them. When it is used up, those that have been open for longest
// without being read are aborted, and others wait.
type answerRoom struct {
	// accounts passes the ownership of the accounts on.
	accounts chan *answerAccounts
}

func newAnswerRoom(size int64) *answerRoom {
	if size <= 0 {
		size = defaultAnswerBytes
	}
	room := &answerRoom{accounts: make(chan *answerAccounts, 1)}
	room.accounts <- &answerAccounts{free: size}
	return room
}

func (r *answerRoom) update(change func(accounts *answerAccounts)) {
	accounts := <-r.accounts
	change(accounts)
	r.accounts <- accounts
}

// answerAccounts are the memory of all large answers. Answers wait in the order in which they came.
type answerAccounts struct {
	free int64
	// open has the answers that hold memory or wait for some, the oldest first.
	open []*answer
}

// answer is a buffered answer. Its room's accounts own the fields below the context.
type answer struct {
	room *answerRoom
	// ctx ends the wait for memory.
	ctx context.Context

	held, wanted int64
	granted      chan struct{}
	// abort closes the requester's connection. It is set while the answer is written.
	abort        func()
	aborted      bool
	writingSince time.Duration
}

func (r *answerRoom) newAnswer(ctx context.Context) *answer { return &answer{room: r, ctx: ctx} }

// reserve waits for memory, for as long as the answer's context allows.
func (a *answer) reserve(bytes int64) error {
	granted := make(chan struct{})
	a.room.update(func(accounts *answerAccounts) { accounts.ask(a, bytes, granted) })
	select {
	case <-granted:
		return nil
	default:
	}
	retry := time.NewTicker(abortInterval)
	defer retry.Stop()
	for {
		select {
		case <-granted:
			return nil
		case <-a.ctx.Done():
			return a.ctx.Err()
		case <-retry.C:
			a.room.update((*answerAccounts).makeRoom)
		}
	}
}

// release gives back a part of the memory.
func (a *answer) release(bytes int64) {
	a.room.update(func(accounts *answerAccounts) {
		a.held -= bytes
		accounts.free += bytes
		accounts.grant()
	})
}

// deliver calls write, during which abort may be called, from another goroutine.
func (a *answer) deliver(abort, write func()) {
	a.room.update(func(*answerAccounts) { a.abort, a.writingSince = abort, clock.Now() })
	write()
	a.room.update(func(*answerAccounts) { a.abort = nil })
}

// close gives back all memory.
func (a *answer) close() {
	a.room.update(func(accounts *answerAccounts) { accounts.remove(a) })
}

func (b *answerAccounts) ask(a *answer, bytes int64, granted chan struct{}) {
	if !slices.Contains(b.open, a) {
		b.open = append(b.open, a)
	}
	a.wanted, a.granted = bytes, granted
	b.grant()
}

func (b *answerAccounts) remove(a *answer) {
	b.open = slices.DeleteFunc(b.open, func(other *answer) bool { return other == a })
	b.free += a.held
	a.held, a.wanted = 0, 0
	b.grant()
}

func (b *answerAccounts) firstWaiting() *answer {
	for _, a := range b.open {
		if a.wanted > 0 {
			return a
		}
	}
	return nil
}

// grant gives memory to those that wait, in their order. If no answer could free any, as all wait, the
// first gets what it needs beyond the limit.
func (b *answerAccounts) grant() {
	for {
		first := b.firstWaiting()
		if first == nil || first.wanted > b.free && b.anyProceeds() {
			return
		}
		b.free -= first.wanted
		first.held += first.wanted
		first.wanted = 0
		close(first.granted)
	}
}

func (b *answerAccounts) anyProceeds() bool {
	return slices.ContainsFunc(b.open, func(a *answer) bool { return a.wanted == 0 })
}

// makeRoom aborts the oldest answers that are being written, until they free what the first waits for.
func (b *answerAccounts) makeRoom() {
	first := b.firstWaiting()
	if first == nil {
		return
	}
	expected := b.free
	for _, a := range b.open {
		if a.aborted {
			expected += a.held
		}
	}
	for _, a := range b.open {
		if expected >= first.wanted {
			return
		}
		if a.abort != nil && !a.aborted && clock.Now() >= a.writingSince+minDelivery {
			a.aborted = true
			a.abort()
			expected += a.held
		}
	}
}

// read reads a replica's answer, of a size up to the limit.
func (a *answer) read(response *replica.Response, limit int64) ([]byte, error) {
	b := buffer{memory: a, firstChunk: freeAnswerBytes, free: freeAnswerBytes}
	size := response.ContentLength
	var err error
	switch {
	case size < 0 || response.Body == http.NoBody:
		err = b.readToEnd(response.Body, limit)
	case size > limit:
		err = errBodyTooLarge
	default:
		err = b.readExactly(response.Body, size)
	}
	return b.raw, err
}
