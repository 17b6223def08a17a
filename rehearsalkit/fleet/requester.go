package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

// Shares of a user's steps that are actions or tool calls, and of actions that are sent twice.
const (
	actionShare    = 0.15
	toolShare      = 0.1
	duplicateShare = 0.3
)

const maxTurns = 12

const (
	requestTimeout = 3 * time.Second
	turnTimeout    = 5 * time.Second
	actionTimeout  = 2 * time.Second
	// answerGrace is how long requesters wait beyond a request's timeout.
	answerGrace = 500 * time.Millisecond
)

// reply is the part of a response that requesters use.
type reply struct {
	Text         string  `json:"text"`
	Tokens       int64   `json:"tokens"`
	Closing      bool    `json:"closing"`
	Head         string  `json:"head"`
	Program      string  `json:"program"`
	Code         string  `json:"code"`
	Ran          string  `json:"ran"`
	RetryAfterMS float64 `json:"retry_after_ms"`
}

type requestSpec struct {
	method, path, key, kind, user, program, conversation, requestID, onceKey, service string
	body                                                                              map[string]any
	timeout                                                                           time.Duration
}

func (f *Fleet) send(ctx context.Context, at *Process, spec requestSpec) (judge.Request, reply) {
	sent := judge.Request{
		At: f.now(), Kind: spec.kind, Node: at.Name, Tenant: tenantOf(spec.key), User: spec.user,
		Program: spec.program, Conversation: spec.conversation, ID: spec.requestID, OnceKey: spec.onceKey,
		Service: spec.service, Outcome: judge.Silent,
	}
	var last reply
	// A request in progress at the end of the run is completed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spec.timeout+answerGrace)
	defer cancel()
	spec.body["budget_ms"] = spec.timeout.Milliseconds()
	raw, _ := json.Marshal(spec.body)
	r, _ := http.NewRequestWithContext(ctx, spec.method, "http://"+at.requester+spec.path, bytes.NewReader(raw))
	r.Header.Set("Authorization", "Bearer "+spec.key)
	if answer, err := f.client.Do(r); err == nil {
		sent.Status = answer.StatusCode
		switch {
		case answer.Header.Get("Content-Type") == "application/x-ndjson":
			sent.Outcome = judge.Broken
			scanner := bufio.NewScanner(answer.Body)
			for scanner.Scan() {
				var l reply
				if json.Unmarshal(scanner.Bytes(), &l) != nil {
					break
				}
				if l.Closing {
					sent.Outcome, last = judge.Whole, l
					break
				}
				sent.Text += l.Text
				sent.Tokens += l.Tokens
			}
		default:
			text, err := io.ReadAll(answer.Body)
			if err != nil || json.Unmarshal(text, &last) != nil {
				sent.Outcome = judge.Broken
				break
			}
			sent.Outcome = judge.Whole
			if answer.StatusCode >= 300 {
				sent.Outcome, sent.Code, sent.Ran = judge.Refused, last.Code, last.Ran
				sent.RetryAfter = time.Duration(last.RetryAfterMS) * time.Millisecond
			}
		}
		answer.Body.Close()
	}
	sent.Ended = f.now()
	if sent.Program == "" {
		sent.Program = last.Program
	}
	f.update(func(r *judge.Record) { r.Requests = append(r.Requests, sent) })
	return sent, last
}

func tenantOf(key string) string {
	var tenant string
	_, tenant, _ = strings.Cut(key, "-")
	return tenant
}

// pause waits for a random time between least and most, or until the context ends.
func pause(ctx context.Context, least, most time.Duration) {
	select {
	case <-time.After(least + time.Duration(rand.Int64N(int64(most-least)+1))):
	case <-ctx.Done():
	}
}

// runUser is one simulated user, who opens programs one after the other.
func (f *Fleet) runUser(ctx context.Context, name, tenant string) {
	key := "key-" + tenant
	for serial := 0; ctx.Err() == nil; serial++ {
		sent, opened := f.send(ctx, f.anyNode(), requestSpec{
			method:  "POST",
			path:    "/v1/programs",
			key:     key,
			kind:    "open",
			user:    name,
			body:    map[string]any{"user": name},
			timeout: requestTimeout,
		})
		if sent.Outcome != judge.Whole {
			pause(ctx, 200*time.Millisecond, time.Second)
			continue
		}
		head := program.EmptyHead
		for turn := 0; turn < maxTurns && ctx.Err() == nil; turn++ {
			pause(ctx, 20*time.Millisecond, 300*time.Millisecond)
			requestID := fmt.Sprintf("%s-%d-%d", name, serial, turn)
			switch choice := rand.Float64(); {
			case choice < actionShare:
				f.sendAction(ctx, key, name, "alert-"+requestID)
			case choice < actionShare+toolShare:
				f.send(ctx, f.anyNode(), requestSpec{
					method:    "POST",
					path:      "/v1/programs/" + opened.Program + "/tools/search",
					key:       key,
					kind:      "tool",
					program:   opened.Program,
					requestID: "tool-" + requestID,
					service:   "search",
					body:      map[string]any{"arguments": map[string]string{"mark": "tool-" + requestID}},
					timeout:   requestTimeout,
				})
			default:
				ended := false
				if head, ended = f.turn(ctx, key, opened.Program, head, requestID); ended {
					turn = 100 // above maxTurns, so the program is closed
				}
			}
		}
		f.send(ctx, f.anyNode(), requestSpec{
			method:  "DELETE",
			path:    "/v1/programs/" + opened.Program,
			key:     key,
			kind:    "close",
			program: opened.Program,
			body:    map[string]any{},
			timeout: requestTimeout,
		})
	}
}

// turn returns the head of the history for the next turn, and whether the program has ended.
func (f *Fleet) turn(ctx context.Context, key, id, head, requestID string) (next string, ended bool) {
	sent, last := f.send(ctx, f.anyNode(), requestSpec{
		method:    "POST",
		path:      "/v1/programs/" + id + "/turns",
		key:       key,
		kind:      "turn",
		program:   id,
		requestID: requestID,
		service:   "model",
		body:      map[string]any{"service": "model", "before": head, "say": requestID},
		timeout:   turnTimeout,
	})
	switch {
	case sent.Outcome == judge.Whole, sent.Code == "wrong_history":
		return last.Head, false
	case sent.Code == "program_tokens_spent" || sent.Code == "steps_reached" || sent.Code == "duration_reached" ||
		sent.Status == 404 || sent.Status == 410:
		return head, true
	case last.RetryAfterMS > 0:
		pause(ctx, time.Duration(min(last.RetryAfterMS, 2000))*time.Millisecond, time.Duration(min(last.RetryAfterMS, 2000)+50)*time.Millisecond)
	}
	return head, false
}

func (f *Fleet) runLongSession(ctx context.Context, name, tenant string) {
	key, id := "long-"+tenant, ""
	for id == "" && ctx.Err() == nil {
		if _, opened := f.send(ctx, f.anyNode(), requestSpec{
			method:  "POST",
			path:    "/v1/programs",
			key:     key,
			kind:    "open",
			user:    name,
			body:    map[string]any{"user": name},
			timeout: requestTimeout,
		}); opened.Program != "" {
			id = opened.Program
		} else {
			pause(ctx, 200*time.Millisecond, time.Second)
		}
	}
	head := program.EmptyHead
	for turn := 0; ctx.Err() == nil; turn++ {
		requestID := fmt.Sprintf("%s-%d", name, turn)
		if turn%5 == 4 {
			f.send(ctx, f.anyNode(), requestSpec{
				method:    "POST",
				path:      "/v1/programs/" + id + "/tools/search",
				key:       key,
				kind:      "tool",
				program:   id,
				requestID: "tool-" + requestID,
				service:   "search",
				body:      map[string]any{"arguments": map[string]string{"mark": "tool-" + requestID}},
				timeout:   requestTimeout,
			})
		}
		ended := false
		if head, ended = f.turn(ctx, key, id, head, requestID); ended {
			return
		}
		pause(ctx, 100*time.Millisecond, 500*time.Millisecond)
	}
}

// sendAction sends a once-only action with retries, some also twice concurrently.
func (f *Fleet) sendAction(ctx context.Context, key, name, requestID string) {
	service := f.Layout.OnceServices[rand.IntN(len(f.Layout.OnceServices))]
	spec := requestSpec{
		method:    "POST",
		path:      "/v1/actions/" + service,
		key:       key,
		kind:      "action",
		requestID: requestID,
		onceKey:   requestID,
		service:   service,
		timeout:   actionTimeout,
		body:      map[string]any{"user": name, "once_key": requestID, "body": map[string]string{"mark": requestID}},
	}
	if rand.Float64() < duplicateShare {
		duplicate := spec
		duplicate.body = map[string]any{"user": name, "once_key": requestID, "body": map[string]string{"mark": requestID}}
		go f.send(ctx, f.anyNode(), duplicate)
	}
	for attempt := 0; attempt < 4 && ctx.Err() == nil; attempt++ {
		if sent, _ := f.send(ctx, f.anyNode(), spec); sent.Outcome == judge.Whole {
			return
		}
		pause(ctx, 100*time.Millisecond, 900*time.Millisecond)
	}
}
