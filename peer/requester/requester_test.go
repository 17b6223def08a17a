package requester

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rule/verdict"
)

type backend struct {
	frames    []node.Frame
	full      bool
	submitted node.Request
}

func (b *backend) Submit(ctx context.Context, req node.Request) (<-chan node.Frame, bool) {
	b.submitted = req
	frames := make(chan node.Frame, len(b.frames))
	for _, frame := range b.frames {
		frames <- frame
	}
	close(frames)
	return frames, !b.full
}
func (b *backend) Ready(context.Context) bool            { return true }
func (b *backend) Counters(context.Context) (any, error) { return map[string]int{}, nil }

// TestBadInput guards against refusals without a stable code, a reason, or a report that nothing
// ran.
func TestBadInput(t *testing.T) {
	for _, c := range []struct {
		name, method, path, key, body string
		status                        int
		code                          string
	}{
		{"no key", "POST", "/v1/programs", "", `{"user":"u"}`, 401, "unknown_key"},
		{"no JSON", "POST", "/v1/programs", "k", `hello`, 400, "malformed"},
		{"unknown field", "POST", "/v1/programs", "k", `{"user":"u","colour":1}`, 400, "malformed"},
		{"two objects", "POST", "/v1/programs", "k", `{"user":"u"}{}`, 400, "malformed"},
		{"bad user", "POST", "/v1/programs", "k", `{"user":"a/b"}`, 400, "malformed"},
		{"oversized", "POST", "/v1/programs", "k", `{"user":"` + strings.Repeat("u", 3000) + `"}`, 413, "too_large"},
		{"passed budget", "POST", "/v1/programs", "k", `{"user":"u","budget_ms":-1}`, 504, "budget_passed"},
		{"no before", "POST", "/v1/programs/p/turns", "k", `{"say":"x"}`, 400, "malformed"},
		{"empty say", "POST", "/v1/programs/p/turns", "k", `{"before":"start"}`, 400, "malformed"},
		{"no once-key", "POST", "/v1/actions/a", "k", `{"body":{}}`, 400, "malformed"},
		{"no body", "POST", "/v1/actions/a", "k", `{"once_key":"x"}`, 400, "malformed"},
		{"no arguments", "POST", "/v1/programs/p/tools/s", "k", `{}`, 400, "malformed"},
		{"no such path", "GET", "/v2", "k", ``, 404, "unknown_path"},
	} {
		w := request(&backend{}, c.method, c.path, c.key, c.body)
		var answer Answer
		json.Unmarshal(w.Body.Bytes(), &answer)
		if w.Code != c.status || answer.Code != c.code || answer.Ran != verdict.NotExecuted || answer.Reason == "" {
			t.Errorf("%s: %d %s", c.name, w.Code, w.Body)
		}
	}
	if w := request(&backend{full: true}, "POST", "/v1/programs", "k", `{"user":"u"}`); w.Code != 503 || w.Header().Get("Retry-After") != "1" {
		t.Errorf("full buffer: %d %s", w.Code, w.Body)
	}
}

func request(b *backend, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	Handler(b, 2000).ServeHTTP(w, r)
	return w
}

// TestStreams guards against a stream that looks complete without a closing record.
func TestStreams(t *testing.T) {
	chunk := node.Frame{Kind: node.FrameChunk, Text: "a", Tokens: 1}
	for _, c := range []struct {
		name     string
		frames   []node.Frame
		complete bool
	}{
		{"complete", []node.Frame{{Kind: node.FrameOpen}, chunk, {Kind: node.FrameClose, Tokens: 1, Head: "h", FinishReason: "complete"}}, true},
		{"broken", []node.Frame{{Kind: node.FrameOpen}, chunk, {Kind: node.FrameAbort}}, false},
		{"cut off", []node.Frame{{Kind: node.FrameOpen}, chunk}, false},
	} {
		server := httptest.NewServer(Handler(&backend{frames: c.frames}, 2000))
		r, _ := http.NewRequest("POST", server.URL+"/v1/programs/p/turns", strings.NewReader(`{"before":"start","say":"x","service":"model"}`))
		r.Header.Set("Authorization", "Bearer k")
		got, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(got.Body)
		if (err == nil) != c.complete || strings.Contains(string(text), `"closing":true`) != c.complete {
			t.Errorf("%s: %v %s", c.name, err, text)
		}
		server.Close()
	}
}

// TestRetryAfter guards against a header that is rounded down.
func TestRetryAfter(t *testing.T) {
	b := &backend{frames: []node.Frame{{Kind: node.FrameVerdict, Status: 429, Verdict: verdict.Refused(verdict.Refusal{Check: "lockout", Code: "locked_out", RetryAfter: 1200 * time.Millisecond})}}}
	w := request(b, "POST", "/v1/programs", "k", `{"user":"u","budget_ms":1500}`)
	if w.Header().Get("Retry-After") != "2" || !strings.Contains(w.Body.String(), `"retry_after_ms":1200`) || b.submitted.Timeout != 1500*time.Millisecond {
		t.Errorf("%v %s %v", w.Header(), w.Body, b.submitted.Timeout)
	}
}

func TestReferenceNamesEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/http.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, path := range []string{"handler.go", "../node/request.go", "../node/turn.go", "../../rule/program/program.go", "../../rule/program/user.go", "../../rule/verdict/verdict.go"} {
		code, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?:Code: |denied\(|refuse\(w, |refuse\("[a-z_]+", )"([a-z_]+)"`).FindAllStringSubmatch(string(code), -1) {
			found++
			if m[1] != "unknown_inquiry" && !strings.Contains(string(page), "`"+m[1]+"`") {
				t.Errorf("docs/http.md does not name %s", m[1])
			}
		}
	}
	if found < 25 {
		t.Errorf("only %d codes were found", found)
	}
}
