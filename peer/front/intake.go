package front

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"saffronfall/peer/clock"
)

const (
	defaultBodyTimeout = 30 * time.Second
	defaultIntakeBytes = 64 << 20
	// responseTimeout is how long a requester may take to read a buffered response.
	responseTimeout = 10 * time.Second
	discardTimeout  = 2 * time.Second
	// bodyChunk is the first reservation for a large body, in bytes.
	bodyChunk = 64 << 10
)

var errIntakeFull = errors.New("the bodies of requests under way fill the room for them")

// intake limits the total memory of the bodies of open requests. Memory is reserved for received
// bytes, never for the announced length of a large body.
type intake struct{ bytes *semaphore.Weighted }

func newIntake(size int64) *intake {
	if size <= 0 {
		size = defaultIntakeBytes
	}
	return &intake{bytes: semaphore.NewWeighted(size)}
}

func (i *intake) reserve(bytes int64) error {
	if !i.bytes.TryAcquire(bytes) {
		return errIntakeFull
	}
	return nil
}

func (i *intake) release(bytes int64) { i.bytes.Release(bytes) }

func (i *intake) newBuffer() *buffer { return &buffer{memory: i, firstChunk: bodyChunk} }

// readBody reads a request's body, of a size up to the limit.
func readBody(b *buffer, r *http.Request, limit int64) error {
	switch size := r.ContentLength; {
	case size > limit:
		return errBodyTooLarge
	case size == 0:
		return nil
	case size > 0 && size <= bodyChunk:
		return b.readExactly(r.Body, size)
	}
	return b.readToEnd(r.Body, limit)
}

func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// setReadTimeout limits how long the requester may take to send; zero removes the limit.
func (x *exchange) setReadTimeout(timeout time.Duration) {
	at := time.Time{}
	if timeout > 0 {
		at = clock.Deadline(timeout)
	}
	// A response writer without a connection supports no deadlines.
	_ = x.controller.SetReadDeadline(at)
}

// setWriteTimeout limits how long the requester may take to read later writes.
func (x *exchange) setWriteTimeout(timeout time.Duration) {
	_ = x.controller.SetWriteDeadline(clock.Deadline(max(timeout, time.Millisecond)))
}
