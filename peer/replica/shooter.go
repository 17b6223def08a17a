// Package replica speaks with back ends: it shoots at them and takes their
// announcements.
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

// Shooter sends shots over HTTP. Every shot has a connection of its own, so
// that no library ever sends one twice.
type Shooter struct {
	client *http.Client
	most   int64
}

// NewShooter makes one that reads at most so many bytes of an answer.
func NewShooter(dialer *net.Dialer, most int64) *Shooter {
	return &Shooter{most: most, client: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// line is one line of a streamed turn.
type line struct {
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
	Done   bool   `json:"done"`
	Total  int64  `json:"total"`
}

// Shoot makes one shot and tells what becomes of it. The last event is one of
// done, not run, or broken.
func (s *Shooter) Shoot(ctx context.Context, shot node.Shoot, tell func(e node.Event)) {
	ctx, cancel := context.WithTimeout(ctx, shot.Budget)
	defer cancel()
	path, body := "/v1/calls", shot.Payload.Body
	if shot.Kind == "model" {
		path = "/v1/turns"
		body, _ = json.Marshal(shot.Payload)
	}
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+shot.Address+path, bytes.NewReader(body))
	if err != nil {
		tell(node.Event{Shot: shot.Shot, Kind: node.EventNotRun})
		return
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Saffronfall-Shot", shot.Payload.Shot)
	r.Header.Set("Saffronfall-Tenant", shot.Payload.Tenant)
	r.Header.Set("Saffronfall-Program", shot.Payload.Program)
	if shot.Payload.OnceKey != "" {
		r.Header.Set("Once-Key", shot.Payload.OnceKey)
	}
	got, err := s.client.Do(r)
	if err != nil {
		kind := node.EventBroken
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			kind = node.EventNotRun
		}
		tell(node.Event{Shot: shot.Shot, Kind: kind})
		return
	}
	defer got.Body.Close()
	if shot.Kind == "model" && got.StatusCode == 200 {
		s.relay(shot.Shot, got.Body, tell)
		return
	}
	raw, err := io.ReadAll(io.LimitReader(got.Body, s.most+1))
	var proof struct {
		Ran string `json:"ran"`
	}
	switch {
	case err != nil || int64(len(raw)) > s.most:
		tell(node.Event{Shot: shot.Shot, Kind: node.EventBroken})
	case got.StatusCode >= 400 && json.Unmarshal(raw, &proof) == nil && proof.Ran == "no":
		tell(node.Event{Shot: shot.Shot, Kind: node.EventNotRun})
	case shot.Kind == "model" || !json.Valid(raw):
		tell(node.Event{Shot: shot.Shot, Kind: node.EventBroken})
	default:
		tell(node.Event{Shot: shot.Shot, Kind: node.EventDone, Status: got.StatusCode, Body: raw})
	}
}

func (s *Shooter) relay(shot uint64, body io.Reader, tell func(e node.Event)) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 4096), int(s.most))
	var total int64
	for scanner.Scan() {
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil || l.Tokens < 0 {
			break
		}
		if l.Done {
			if l.Total != total {
				break
			}
			tell(node.Event{Shot: shot, Kind: node.EventDone, Status: 200})
			return
		}
		total += l.Tokens
		tell(node.Event{Shot: shot, Kind: node.EventChunk, Text: l.Text, Tokens: l.Tokens})
	}
	tell(node.Event{Shot: shot, Kind: node.EventBroken})
}
