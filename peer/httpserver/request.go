package httpserver

import (
	"io"
	"net/http"
)

// requestTracker tells the connection when a request has been received whole. A request whose connection
// was evicted before is not passed on.
type requestTracker struct {
	next        http.Handler
	countBodies bool
}

func (t requestTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connectionOf(r.Context())
	conn.inBody, conn.position.body = true, r.ContentLength
	switch {
	case r.ContentLength != 0:
		r.Body = &requestBody{ReadCloser: r.Body, conn: conn, left: r.ContentLength, counted: t.countBodies}
	case !conn.enter(phaseServing):
		panic(http.ErrAbortHandler)
	}
	t.next.ServeHTTP(w, r)
}

// requestBody is the body of a request that may not have been received whole.
type requestBody struct {
	io.ReadCloser
	conn *connection
	// left is the number of bytes to come; it is negative for a body of unknown length.
	left    int64
	counted bool
}

// Read returns errEvicted instead of the end of a body whose connection was evicted.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.counted && !b.conn.take(usage{text: int64(n)}) {
		return 0, errEvicted
	}
	if (err == io.EOF || b.left == 0) && !b.conn.enter(phaseServing) {
		return 0, errEvicted
	}
	return n, err
}
