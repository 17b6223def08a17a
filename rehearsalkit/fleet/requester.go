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

// got is what a requester reads of a return.
type got struct {
	Text         string  `json:"text"`
	Tokens       int64   `json:"tokens"`
	Closing      bool    `json:"closing"`
	Head         string  `json:"head"`
	Program      string  `json:"program"`
	Code         string  `json:"code"`
	Ran          string  `json:"ran"`
	RetryAfterMS float64 `json:"retry_after_ms"`
}

type asking struct {
	method, path, key, kind, user, program, line, mark, once, service string
	body                                                              map[string]any
	within                                                            time.Duration
}

// ask makes one inquiry over HTTP and records what its requester saw.
func (f *Fleet) ask(ctx context.Context, at *Machine, q asking) (judge.Request, got) {
	a := judge.Request{At: f.now(), Kind: q.kind, Node: at.Name, Tenant: tenantOf(q.key), User: q.user, Program: q.program, Conversation: q.line, ID: q.mark, OnceKey: q.once, Service: q.service, Outcome: judge.Silent}
	var last got
	// An inquiry that is under way when the run ends is seen to its end.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), q.within+500*time.Millisecond)
	defer cancel()
	q.body["budget_ms"] = q.within.Milliseconds()
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
				var l got
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
	f.note(func(r *judge.Record) { r.Requests = append(r.Requests, a) })
	return a, last
}

func tenantOf(key string) string {
	var tenant string
	_, tenant, _ = strings.Cut(key, "-")
	return tenant
}

func pause(ctx context.Context, least, most time.Duration) {
	select {
	case <-time.After(least + time.Duration(rand.Int64N(int64(most-least)+1))):
	case <-ctx.Done():
	}
}

// live is a stand-in requester: it opens programs, takes turns at any node,
// calls tools, sends alerts, and asks again where it is unsure.
func (f *Fleet) live(ctx context.Context, name, tenant string) {
	key := "key-" + tenant
	for serial := 0; ctx.Err() == nil; serial++ {
		a, opened := f.ask(ctx, f.anyNode(), asking{method: "POST", path: "/v1/programs", key: key, kind: "open", user: name, body: map[string]any{"user": name}, within: 3 * time.Second})
		if a.Outcome != judge.Whole {
			pause(ctx, 200*time.Millisecond, time.Second)
			continue
		}
		head := program.EmptyHead
		for turn := 0; turn < 12 && ctx.Err() == nil; turn++ {
			pause(ctx, 20*time.Millisecond, 300*time.Millisecond)
			mark := fmt.Sprintf("%s-%d-%d", name, serial, turn)
			switch dice := rand.Float64(); {
			case dice < 0.15:
				f.alert(ctx, key, name, "alert-"+mark)
			case dice < 0.25:
				f.ask(ctx, f.anyNode(), asking{method: "POST", path: "/v1/programs/" + opened.Program + "/tools/search", key: key, kind: "tool", program: opened.Program, mark: "tool-" + mark, service: "search",
					body: map[string]any{"arguments": map[string]string{"mark": "tool-" + mark}}, within: 3 * time.Second})
			default:
				over := false
				if head, over = f.turn(ctx, key, opened.Program, head, mark); over {
					turn = 100
				}
			}
		}
		f.ask(ctx, f.anyNode(), asking{method: "DELETE", path: "/v1/programs/" + opened.Program, key: key, kind: "close", program: opened.Program, body: map[string]any{}, within: 3 * time.Second})
	}
}

// turn takes one turn and returns the head that the next one follows, and
// whether there is to be none.
func (f *Fleet) turn(ctx context.Context, key, id, head, mark string) (next string, over bool) {
	a, last := f.ask(ctx, f.anyNode(), asking{method: "POST", path: "/v1/programs/" + id + "/turns", key: key, kind: "turn", program: id, mark: mark, service: "model",
		body: map[string]any{"service": "model", "before": head, "say": mark}, within: 5 * time.Second})
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

// keep is a long session, as calibrations and renewals are: one program for as
// long as the run lasts, with a tool call now and then.
func (f *Fleet) keep(ctx context.Context, name, tenant string) {
	key, id := "long-"+tenant, ""
	for id == "" && ctx.Err() == nil {
		if _, opened := f.ask(ctx, f.anyNode(), asking{method: "POST", path: "/v1/programs", key: key, kind: "open", user: name, body: map[string]any{"user": name}, within: 3 * time.Second}); opened.Program != "" {
			id = opened.Program
		} else {
			pause(ctx, 200*time.Millisecond, time.Second)
		}
	}
	head := program.EmptyHead
	for turn := 0; ctx.Err() == nil; turn++ {
		mark := fmt.Sprintf("%s-%d", name, turn)
		if turn%5 == 4 {
			f.ask(ctx, f.anyNode(), asking{method: "POST", path: "/v1/programs/" + id + "/tools/search", key: key, kind: "tool", program: id, mark: "tool-" + mark, service: "search",
				body: map[string]any{"arguments": map[string]string{"mark": "tool-" + mark}}, within: 3 * time.Second})
		}
		over := false
		if head, over = f.turn(ctx, key, id, head, mark); over {
			return
		}
		pause(ctx, 100*time.Millisecond, 500*time.Millisecond)
	}
}

func (f *Fleet) alert(ctx context.Context, key, name, mark string) {
	service := f.Layout.Once[rand.IntN(len(f.Layout.Once))]
	q := asking{method: "POST", path: "/v1/actions/" + service, key: key, kind: "action", mark: mark, once: mark, service: service, within: 2 * time.Second,
		body: map[string]any{"user": name, "once_key": mark, "body": map[string]string{"mark": mark}}}
	if rand.Float64() < 0.3 {
		twin := q
		twin.body = map[string]any{"user": name, "once_key": mark, "body": map[string]string{"mark": mark}}
		go f.ask(ctx, f.anyNode(), twin)
	}
	for try := 0; try < 4 && ctx.Err() == nil; try++ {
		if a, _ := f.ask(ctx, f.anyNode(), q); a.Outcome == judge.Whole {
			return
		}
		pause(ctx, 100*time.Millisecond, 900*time.Millisecond)
	}
}
