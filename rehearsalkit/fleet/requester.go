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

func (f *Fleet) send(ctx context.Context, at *Process, q requestSpec) (judge.Request, reply) {
	a := judge.Request{
		At: f.now(), Kind: q.kind, Node: at.Name, Tenant: tenantOf(q.key), User: q.user,
		Program: q.program, Conversation: q.conversation, ID: q.requestID, OnceKey: q.onceKey,
		Service: q.service, Outcome: judge.Silent,
	}
	var last reply
	// A request in progress at the end of the run is completed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), q.timeout+500*time.Millisecond)
	defer cancel()
	q.body["budget_ms"] = q.timeout.Milliseconds()
	raw, _ := json.Marshal(q.body)
	r, _ := http.NewRequestWithContext(ctx, q.method, "http://"+at.requester+q.path, bytes.NewReader(raw))
	r.Header.Set("Authorization", "Bearer "+q.key)
	if answer, err := f.client.Do(r); err == nil {
		a.Status = answer.StatusCode
		switch {
		case answer.Header.Get("Content-Type") == "application/x-ndjson":
			a.Outcome = judge.Broken
			scanner := bufio.NewScanner(answer.Body)
			for scanner.Scan() {
				var l reply
				if json.Unmarshal(scanner.Bytes(), &l) != nil {
					break
				}
				if l.Closing {
					a.Outcome, last = judge.Whole, l
					break
				}
				a.Text += l.Text
				a.Tokens += l.Tokens
			}
		default:
			text, err := io.ReadAll(answer.Body)
			if err != nil || json.Unmarshal(text, &last) != nil {
				a.Outcome = judge.Broken
				break
			}
			a.Outcome = judge.Whole
			if answer.StatusCode >= 300 {
				a.Outcome, a.Code, a.Ran = judge.Refused, last.Code, last.Ran
				a.RetryAfter = time.Duration(last.RetryAfterMS) * time.Millisecond
			}
		}
		answer.Body.Close()
	}
	a.Ended = f.now()
	if a.Program == "" {
		a.Program = last.Program
	}
	f.update(func(r *judge.Record) { r.Requests = append(r.Requests, a) })
	return a, last
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
		a, opened := f.send(ctx, f.anyNode(), requestSpec{
			method:  "POST",
			path:    "/v1/programs",
			key:     key,
			kind:    "open",
			user:    name,
			body:    map[string]any{"user": name},
			timeout: 3 * time.Second,
		})
		if a.Outcome != judge.Whole {
			pause(ctx, 200*time.Millisecond, time.Second)
			continue
		}
		head := program.EmptyHead
		for turn := 0; turn < 12 && ctx.Err() == nil; turn++ {
			pause(ctx, 20*time.Millisecond, 300*time.Millisecond)
			requestID := fmt.Sprintf("%s-%d-%d", name, serial, turn)
			switch dice := rand.Float64(); {
			case dice < 0.15:
				f.sendAction(ctx, key, name, "alert-"+requestID)
			case dice < 0.25:
				f.send(ctx, f.anyNode(), requestSpec{
					method:    "POST",
					path:      "/v1/programs/" + opened.Program + "/tools/search",
					key:       key,
					kind:      "tool",
					program:   opened.Program,
					requestID: "tool-" + requestID,
					service:   "search",
					body:      map[string]any{"arguments": map[string]string{"mark": "tool-" + requestID}},
					timeout:   3 * time.Second,
				})
			default:
				over := false
				if head, over = f.turn(ctx, key, opened.Program, head, requestID); over {
					turn = 100
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
			timeout: 3 * time.Second,
		})
	}
}

// turn returns the head of the history for the next turn, and whether the program has ended.
func (f *Fleet) turn(ctx context.Context, key, id, head, requestID string) (next string, over bool) {
	a, last := f.send(ctx, f.anyNode(), requestSpec{
		method:    "POST",
		path:      "/v1/programs/" + id + "/turns",
		key:       key,
		kind:      "turn",
		program:   id,
		requestID: requestID,
		service:   "model",
		body:      map[string]any{"service": "model", "before": head, "say": requestID},
		timeout:   5 * time.Second,
	})
	switch {
	case a.Outcome == judge.Whole, a.Code == "wrong_history":
		return last.Head, false
	case a.Code == "program_tokens_spent" || a.Code == "steps_reached" || a.Code == "duration_reached" || a.Status == 404 || a.Status == 410:
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
			timeout: 3 * time.Second,
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
				timeout:   3 * time.Second,
			})
		}
		over := false
		if head, over = f.turn(ctx, key, id, head, requestID); over {
			return
		}
		pause(ctx, 100*time.Millisecond, 500*time.Millisecond)
	}
}

// sendAction sends a once-only action with retries, and some also twice concurrently.
func (f *Fleet) sendAction(ctx context.Context, key, name, requestID string) {
	service := f.Layout.OnceServices[rand.IntN(len(f.Layout.OnceServices))]
	q := requestSpec{
		method:    "POST",
		path:      "/v1/actions/" + service,
		key:       key,
		kind:      "action",
		requestID: requestID,
		onceKey:   requestID,
		service:   service,
		timeout:   2 * time.Second,
		body:      map[string]any{"user": name, "once_key": requestID, "body": map[string]string{"mark": requestID}},
	}
	if rand.Float64() < 0.3 {
		duplicate := q
		duplicate.body = map[string]any{"user": name, "once_key": requestID, "body": map[string]string{"mark": requestID}}
		go f.send(ctx, f.anyNode(), duplicate)
	}
	for attempt := 0; attempt < 4 && ctx.Err() == nil; attempt++ {
		if a, _ := f.send(ctx, f.anyNode(), q); a.Outcome == judge.Whole {
			return
		}
		pause(ctx, 100*time.Millisecond, 900*time.Millisecond)
	}
}
