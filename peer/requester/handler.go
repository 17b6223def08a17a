// Package requester is the HTTP API of a node: JSON requests that open, continue and close programs
// and call tools and actions.
//
// Every verdict reports whether the request ran; a request refused here did not run. A streamed
// turn is complete only if it ends with a closing record. Start reading at Handler.
package requester

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/node"
	"saffronfall/rule/configuration"
	"saffronfall/rule/program"
	"saffronfall/rule/verdict"
)

// Backend is the node that runs the requests.
type Backend interface {
	// Submit starts a request and returns its frames, or false if the node's buffer is full.
	// Ending the context cancels the request.
	Submit(ctx context.Context, req node.Request) (<-chan node.Frame, bool)
	// Ready reports whether the node accepts requests.
	Ready(ctx context.Context) bool
	// Counters returns the node's counters, to be encoded as JSON.
	Counters(ctx context.Context) (any, error)
}

// body is the union of all paths' bodies. Before is the head that a turn follows, Say its prompt,
// and Helper names its conversation.
type body struct {
	User      string          `json:"user"`
	Service   string          `json:"service"`
	Helper    string          `json:"helper"`
	Before    string          `json:"before"`
	Say       string          `json:"say"`
	History   []turn          `json:"history"`
	MaxTokens int64           `json:"max_tokens"`
	Arguments json.RawMessage `json:"arguments"`
	OnceKey   string          `json:"once_key"`
	Body      json.RawMessage `json:"body"`
	BudgetMS  int64           `json:"budget_ms"`
}

type turn struct {
	Say string `json:"say"`
	Got string `json:"got"`
}

// Answer is the JSON form of a verdict.
type Answer struct {
	verdict.Verdict
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Program      string `json:"program,omitempty"`
}

const maxOnceKeyBytes = 256

// Handler returns the handler of a node's API. Bodies may have at most maxBody bytes.
func Handler(backend Backend, maxBody int64) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, fill func(req *node.Request, b body, r *http.Request) string) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { serve(w, r, backend, maxBody, fill) })
	}
	handle("POST /v1/programs", func(req *node.Request, b body, r *http.Request) string {
		req.Kind, req.User = node.KindOpen, b.User
		if !configuration.ValidName(b.User) {
			return "user must be a name"
		}
		return ""
	})
	handle("POST /v1/programs/{program}/turns", func(req *node.Request, b body, r *http.Request) string {
		req.Kind, req.Program, req.Conversation, req.Service = node.KindTurn, r.PathValue("program"), b.Helper, b.Service
		req.PreviousHead, req.Prompt, req.MaxTokens = b.Before, b.Say, b.MaxTokens
		for _, t := range b.History {
			req.History = append(req.History, program.Turn{Prompt: t.Say, Response: t.Got})
		}
		switch {
		case b.Before == "":
			return "before must name the head that this turn follows; the first turn follows \"" + program.EmptyHead + "\""
		case b.Say == "":
			return "say must not be empty"
		case b.MaxTokens < 0:
			return "max_tokens must not be negative"
		case b.Helper != "" && !configuration.ValidName(b.Helper):
			return "helper must be a name"
		}
		return ""
	})
	handle("POST /v1/programs/{program}/tools/{service}", func(req *node.Request, b body, r *http.Request) string {
		req.Kind, req.Program, req.Service, req.Conversation, req.Arguments = node.KindTool, r.PathValue("program"), r.PathValue("service"), b.Helper, b.Arguments
		if len(b.Arguments) == 0 {
			return "arguments are missing"
		}
		return ""
	})
	handle("POST /v1/actions/{service}", func(req *node.Request, b body, r *http.Request) string {
		req.Kind, req.Service, req.User, req.OnceKey, req.Arguments = node.KindAction, r.PathValue("service"), b.User, b.OnceKey, b.Body
		switch {
		case b.OnceKey == "" || len(b.OnceKey) > maxOnceKeyBytes:
			return "once_key must have 1 to 256 bytes"
		case len(b.Body) == 0:
			return "body is missing"
		}
		return ""
	})
	handle("GET /v1/programs/{program}", func(req *node.Request, b body, r *http.Request) string {
		req.Kind, req.Program, req.Conversation = node.KindStatus, r.PathValue("program"), r.URL.Query().Get("helper")
		return ""
	})
	handle("DELETE /v1/programs/{program}", func(req *node.Request, b body, r *http.Request) string {
		req.Kind, req.Program = node.KindClose, r.PathValue("program")
		return ""
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		status := 200
		ready := backend.Ready(r.Context())
		if !ready {
			status = 503
			w.Header().Set("Retry-After", "1")
		}
		writeJSON(w, status, map[string]bool{"ready": ready})
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
		counts, err := backend.Counters(r.Context())
		if err != nil {
			writeVerdict(w, verdict.RetryLater("node", "busy", time.Second), 503)
			return
		}
		writeJSON(w, 200, counts)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeVerdict(w, verdict.Refused(verdict.Refusal{Check: "inquiry", Code: "unknown_path", Reason: "no such path: " + r.Method + " " + r.URL.Path}), 404)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.Encode(value)
}

func writeVerdict(w http.ResponseWriter, v verdict.Verdict, status int) {
	answer := Answer{Verdict: v}
	if v.RetryAfter > 0 {
		seconds := (v.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		answer.RetryAfterMS = (v.RetryAfter + time.Millisecond - 1).Milliseconds()
	}
	writeJSON(w, status, answer)
}

// refuse answers a request that was not submitted.
func refuse(w http.ResponseWriter, code, reason string, status int) {
	writeVerdict(w, verdict.Refused(verdict.Refusal{Check: "inquiry", Code: code, Reason: reason}), status)
}

// serve decodes, submits and answers a request. fill completes it, and returns what is malformed or
// an empty string.
func serve(
	w http.ResponseWriter, r *http.Request, backend Backend, maxBody int64,
	fill func(req *node.Request, b body, r *http.Request) string,
) {
	var b body
	if r.Method == "POST" {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&b)
		if err == nil {
			if _, more := decoder.Token(); !errors.Is(more, io.EOF) {
				err = errors.New("text after the object")
			}
		}
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			refuse(w, "too_large", "the body is larger than "+strconv.FormatInt(maxBody, 10)+" bytes", 413)
			return
		case err != nil:
			refuse(w, "malformed", err.Error(), 400)
			return
		}
	}
	req := node.Request{Timeout: time.Duration(b.BudgetMS) * time.Millisecond}
	if b.BudgetMS < 0 {
		writeVerdict(w, verdict.Refused(verdict.Refusal{Check: "budget", Code: "budget_passed", Reason: "the inquiry's budget has passed"}), 504)
		return
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		refuse(w, "unknown_key", "no key was shown", 401)
		return
	}
	req.Key = key
	if problem := fill(&req, b, r); problem != "" {
		refuse(w, "malformed", problem, 400)
		return
	}
	frames, ok := backend.Submit(r.Context(), req)
	if !ok {
		writeVerdict(w, verdict.RetryLater("buffer", "this node's buffer is full", time.Second), 503)
		return
	}
	writeFrames(w, frames)
}

// writeFrames aborts the connection of an interrupted stream, so that it never looks complete.
func writeFrames(w http.ResponseWriter, frames <-chan node.Frame) {
	flusher, _ := w.(http.Flusher)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	for frame := range frames {
		switch frame.Kind {
		case node.FrameVerdict:
			writeVerdict(w, frame.Verdict, frame.Status)
			return
		case node.FrameBody:
			if frame.Body == nil {
				writeJSON(w, frame.Status, struct {
					Answer
					Head string `json:"head"`
				}{Answer{Verdict: frame.Verdict, Program: frame.Text}, frame.Head})
				return
			}
			w.Header().Set("Content-Type", "application/json")
			if frame.FinishReason == "repeated" {
				w.Header().Set("Saffronfall-Repeated", "true")
			}
			w.Header().Set("Saffronfall-Ran", string(verdict.Executed))
			if len(frame.Verdict.Warnings) > 0 {
				raw, _ := json.Marshal(frame.Verdict.Warnings)
				w.Header().Set("Saffronfall-Warnings", string(raw))
			}
			w.WriteHeader(frame.Status)
			w.Write(frame.Body)
			return
		case node.FrameOpen:
			w.Header().Set("Content-Type", "application/x-ndjson")
			w.WriteHeader(200)
			flusher.Flush()
		case node.FrameChunk:
			encoder.Encode(map[string]any{"text": frame.Text, "tokens": frame.Tokens})
			flusher.Flush()
		case node.FrameClose:
			encoder.Encode(map[string]any{"closing": true, "status": frame.FinishReason, "tokens": frame.Tokens, "head": frame.Head,
				"verdict": frame.Verdict.Kind, "warnings": frame.Verdict.Warnings, "ran": verdict.Executed})
			return
		case node.FrameAbort:
			panic(http.ErrAbortHandler)
		}
	}
	panic(http.ErrAbortHandler)
}
