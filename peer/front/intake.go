package front

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"saffronfall/peer/clock"
)

// Bounds on what requesters may hold where Options name none.
const (
	defaultBodyTime   = 30 * time.Second
	defaultIntakeSize = 64 << 20
	// answerTime is how long a requester may take to read an answer that is there
	// whole.
	answerTime = 10 * time.Second
	// discardTime is for how long a body that is not wanted is still read.
	discardTime = 2 * time.Second
	// bodyStep is how much of a body is made room for at a time.
	bodyStep = 64 << 10
)

var (
	errBodyTooLarge = errors.New("the body is larger than any allowed")
	errIntakeFull   = errors.New("the bodies of requests under way fill the room for them")
)

// intake is the room that the bodies of all requests under way share. Memory is taken
// for what has come, never for what was announced.
type intake struct{ room *semaphore.Weighted }

func newIntake(size int64) *intake {
	if size <= 0 {
		size = defaultIntakeSize
	}
	return &intake{room: semaphore.NewWeighted(size)}
}

// body is a request's body and the room that it takes.
type body struct {
	intake *intake
	raw    []byte
	held   int64
}

// release gives the room back.
func (b *body) release() {
	b.intake.room.Release(b.held)
	b.held = 0
}

// more makes room for what comes next.
func (b *body) more(size int64) error {
	if !b.intake.room.TryAcquire(size) {
		return errIntakeFull
	}
	b.held += size
	return nil
}

// read reads a body whole, up to a largest size.
func (b *body) read(r *http.Request, most int64) error {
	switch size := r.ContentLength; {
	case size > most:
		return errBodyTooLarge
	case size == 0:
		return nil
	case size > 0 && size <= bodyStep:
		if err := b.more(size); err != nil {
			return err
		}
		b.raw = make([]byte, size)
		_, err := io.ReadFull(r.Body, b.raw)
		return err
	}
	return b.readInSteps(r, most)
}

// readInSteps reads a body that is large, or whose size was not told.
func (b *body) readInSteps(r *http.Request, most int64) error {
	var all bytes.Buffer
	for {
		if err := b.more(bodyStep); err != nil {
			return err
		}
		n, err := io.CopyN(&all, r.Body, bodyStep)
		switch {
		case int64(all.Len()) > most:
			return errBodyTooLarge
		case err == io.EOF:
			b.raw = all.Bytes()
			return nil
		case err != nil:
			return err
		case n < bodyStep:
			return io.ErrUnexpectedEOF
		}
	}
}

// late reports whether an error is that of a requester that took too long.
func late(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// mayRead bounds how long the requester may take to send; zero ends the bound.
func (x *exchange) mayRead(within time.Duration) {
	at := time.Time{}
	if within > 0 {
		at = clock.Deadline(within)
	}
	// What can't be bounded, as in tests without a connection, is not.
	_ = x.controller.SetReadDeadline(at)
}

// mayWrite bounds how long the requester may take to read what is written from now
// on.
func (x *exchange) mayWrite(within time.Duration) {
	_ = x.controller.SetWriteDeadline(clock.Deadline(max(within, time.Millisecond)))
}
