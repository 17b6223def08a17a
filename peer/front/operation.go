package front

import (
	"context"
	"net/http"
	"strconv"

	"saffronfall/peer/core"
	"saffronfall/peer/replica"
	"saffronfall/rule/ordered"
)

// storableResponse returns a response for later attempts at the same operation. Headers of the
// connection, and those about the attempt or the replica's load, are left out.
func (x *exchange) storableResponse(response *replica.Response, body []byte) *core.KeyResponse {
	stored := &core.KeyResponse{Status: response.StatusCode, Body: body}
	header := endToEnd(response.Header, x.Headers.Attempt, x.Headers.Load, "Date")
	for _, name := range ordered.Keys(header) {
		for _, value := range header[name] {
			stored.Header = append(stored.Header, [2]string{name, value})
		}
	}
	return stored
}

// replay answers with the stored response of an earlier attempt at the operation. It returns false if
// there was no memory for it in time.
func (x *exchange) replay(stored *core.KeyResponse) bool {
	ctx, cancel := context.WithTimeout(x.r.Context(), responseTimeout)
	defer cancel()
	answer := x.answers.newAnswer(ctx)
	defer answer.close()
	if len(stored.Body) > freeAnswerBytes && answer.reserve(int64(len(stored.Body))) != nil {
		return false
	}
	answer.deliver(x.abortConnection, func() { x.writeStored(stored) })
	return true
}

func (x *exchange) writeStored(stored *core.KeyResponse) {
	x.setWriteTimeout(responseTimeout)
	header := x.w.Header()
	// A nil value stops net/http from guessing the type.
	header["Content-Type"] = nil
	for _, field := range stored.Header {
		header.Add(field[0], field[1])
	}
	header.Set(x.Headers.Attempt, x.spec.Attempt)
	header.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	x.w.WriteHeader(stored.Status)
	if x.r.Method != http.MethodHead {
		x.w.Write(stored.Body)
	}
	x.started = true
}
