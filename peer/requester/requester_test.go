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

type owner struct {
	pieces []node.Piece
	full   bool
	asked  node.Inquiry
}

func (o *owner) Inquire(ctx context.Context, q node.Inquiry) (<-chan node.Piece, bool) {
	o.asked = q
	pieces := make(chan node.Piece, len(o.pieces))
	for _, p := range o.pieces {
		pieces <- p
	}
	close(pieces)
	return pieces, !o.full
}
func (o *owner) Ready(context.Context) bool            { return true }
func (o *owner) Counters(context.Context) (any, error) { return map[string]int{}, nil }

// TestBadInput: each has a stable code, says what was wrong, and that nothing
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
		{"nothing said", "POST", "/v1/programs/p/turns", "k", `{"before":"start"}`, 400, "malformed"},
		{"no once-key", "POST", "/v1/actions/a", "k", `{"body":{}}`, 400, "malformed"},
		{"no body", "POST", "/v1/actions/a", "k", `{"once_key":"x"}`, 400, "malformed"},
		{"no arguments", "POST", "/v1/programs/p/tools/s", "k", `{}`, 400, "malformed"},
		{"no such path", "GET", "/v2", "k", ``, 404, "unknown_path"},
	} {
		w := try(&owner{}, c.method, c.path, c.key, c.body)
		var told Told
		json.Unmarshal(w.Body.Bytes(), &told)
		if w.Code != c.status || told.Code != c.code || told.Ran != verdict.NotExecuted || told.Reason == "" {
			t.Errorf("%s: %d %s", c.name, w.Code, w.Body)
		}
	}
	if w := try(&owner{full: true}, "POST", "/v1/programs", "k", `{"user":"u"}`); w.Code != 503 || w.Header().Get("Retry-After") != "1" {
		t.Errorf("full buffer: %d %s", w.Code, w.Body)
	}
}

func try(o *owner, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	Handler(o, 2000).ServeHTTP(w, r)
	return w
}

// TestStreams: only a stream with a closing record ends well; a broken one is
// aborted, whatever had been sent.
func TestStreams(t *testing.T) {
	chunk := node.Piece{Kind: node.PieceChunk, Text: "a", Tokens: 1}
	for _, c := range []struct {
		name   string
		pieces []node.Piece
		whole  bool
	}{
		{"whole", []node.Piece{{Kind: node.PieceOpen}, chunk, {Kind: node.PieceClose, Tokens: 1, Head: "h", End: "complete"}}, true},
		{"broken", []node.Piece{{Kind: node.PieceOpen}, chunk, {Kind: node.PieceBreak}}, false},
		{"cut off", []node.Piece{{Kind: node.PieceOpen}, chunk}, false},
	} {
		server := httptest.NewServer(Handler(&owner{pieces: c.pieces}, 2000))
		r, _ := http.NewRequest("POST", server.URL+"/v1/programs/p/turns", strings.NewReader(`{"before":"start","say":"x","service":"model"}`))
		r.Header.Set("Authorization", "Bearer k")
		got, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(got.Body)
		if (err == nil) != c.whole || strings.Contains(string(text), `"closing":true`) != c.whole {
			t.Errorf("%s: %v %s", c.name, err, text)
		}
		server.Close()
	}
}

// TestRetryAfter: the header rounds up, the body is exact.
func TestRetryAfter(t *testing.T) {
	o := &owner{pieces: []node.Piece{{Kind: node.PieceVerdict, Status: 429, Verdict: verdict.Refused(verdict.Refusal{Check: "lockout", Code: "locked_out", RetryAfter: 1200 * time.Millisecond})}}}
	w := try(o, "POST", "/v1/programs", "k", `{"user":"u","budget_ms":1500}`)
	if w.Header().Get("Retry-After") != "2" || !strings.Contains(w.Body.String(), `"retry_after_ms":1200`) || o.asked.Budget != 1500*time.Millisecond {
		t.Errorf("%v %s %v", w.Header(), w.Body, o.asked.Budget)
	}
}

// TestReferenceNamesEveryCode holds docs/http.md against the code.
func TestReferenceNamesEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/http.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, path := range []string{"handler.go", "../node/inquiry.go", "../node/turn.go", "../../rule/program/program.go", "../../rule/program/user.go", "../../rule/verdict/verdict.go"} {
		code, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?:Code: |denied\(|bad\(w, |refuse\("[a-z_]+", )"([a-z_]+)"`).FindAllStringSubmatch(string(code), -1) {
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
