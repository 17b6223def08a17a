package replica

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/node"
)

// Sender sends attempts over HTTP. Each attempt uses a new connection, because net/http
// may resend a request that fails on a reused one.
type Sender struct {
	client   *http.Client
	maxBytes int64
}

// NewSender returns a Sender that reads at most maxBytes of a response.
func NewSender(dialer *net.Dialer, maxBytes int64) *Sender {
	return &Sender{maxBytes: maxBytes, client: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// initialLineBytes is the first buffer for stream lines; it grows up to Sender.maxBytes.
const initialLineBytes = 4096

// streamLine is a line of a model's response. The last has Done and Total, the sum of Tokens.
type streamLine struct {
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
	Done   bool   `json:"done"`
	Total  int64  `json:"total"`
}

// Send makes one attempt. Its last event is node.EventDone, node.EventNotRun if the attempt
// certainly did not run, or node.EventInterrupted if it may have run.
func (s *Sender) Send(ctx context.Context, attempt node.StartAttempt, report func(e node.AttemptEvent)) {
	ctx, cancel := context.WithTimeout(ctx, attempt.Timeout)
	defer cancel()
	path, body := "/v1/calls", attempt.Payload.Body
	if attempt.Kind == "model" {
		path = "/v1/turns"
		body, _ = json.Marshal(attempt.Payload)
	}
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+attempt.Address+path, bytes.NewReader(body))
	if err != nil {
		report(node.AttemptEvent{Attempt: attempt.Attempt, Kind: node.EventNotRun})
		return
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Saffronfall-Shot", attempt.Payload.Attempt)
	request.Header.Set("Saffronfall-Tenant", attempt.Payload.Tenant)
	request.Header.Set("Saffronfall-Program", attempt.Payload.Program)
	if attempt.Payload.OnceKey != "" {
		request.Header.Set("Once-Key", attempt.Payload.OnceKey)
	}
	response, err := s.client.Do(request)
	if err != nil {
		kind := node.EventInterrupted
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			kind = node.EventNotRun
		}
		report(node.AttemptEvent{Attempt: attempt.Attempt, Kind: kind})
		return
	}
	defer response.Body.Close()
	if attempt.Kind == "model" && response.StatusCode == 200 {
		s.readStream(attempt.Attempt, response.Body, report)
		return
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, s.maxBytes+1))
	var refusal struct {
		Ran string `json:"ran"`
	}
	switch {
	case err != nil || int64(len(raw)) > s.maxBytes:
		report(node.AttemptEvent{Attempt: attempt.Attempt, Kind: node.EventInterrupted})
	case response.StatusCode >= 400 && json.Unmarshal(raw, &refusal) == nil && refusal.Ran == "no":
		report(node.AttemptEvent{Attempt: attempt.Attempt, Kind: node.EventNotRun})
	case attempt.Kind == "model" || !json.Valid(raw):
		report(node.AttemptEvent{Attempt: attempt.Attempt, Kind: node.EventInterrupted})
	default:
		report(node.AttemptEvent{Attempt: attempt.Attempt, Kind: node.EventDone, Status: response.StatusCode, Body: raw})
	}
}

// readStream counts a turn as complete only if its last line states the correct token total.
func (s *Sender) readStream(attempt uint64, body io.Reader, report func(e node.AttemptEvent)) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, initialLineBytes), int(s.maxBytes))
	var total int64
	for scanner.Scan() {
		var line streamLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil || line.Tokens < 0 {
			break
		}
		if line.Done {
			if line.Total != total {
				break
			}
			report(node.AttemptEvent{Attempt: attempt, Kind: node.EventDone, Status: 200})
			return
		}
		total += line.Tokens
		report(node.AttemptEvent{Attempt: attempt, Kind: node.EventChunk, Text: line.Text, Tokens: line.Tokens})
	}
	report(node.AttemptEvent{Attempt: attempt, Kind: node.EventInterrupted})
}
