package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got; status 0 means that there was none, or not a whole one.
type answer struct {
	status int
	seal   string
	body   string
	err    error
	retry  string
}

// success reports whether it is a replica's whole success.
func (a answer) success() bool { return a.status/100 == 2 && a.seal != "" && a.err == nil }

var requester = &http.Client{Timeout: 10 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// turn is a request on a streamed route.
type turn struct {
	attempt, program, previous string
	// budget and most are in tokens; prompt is the size of the prompt, and shared the part of it that
	// all have in common.
	budget, most, prompt, shared int
	prefix                       string
	body                         []byte
	// parts, if set, lists the parts of the prompt.
	parts string
	// horizon, if set, is the time left until the program should be done.
	horizon time.Duration
}

func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// ask sends a turn to a node.
func (b *bench) ask(node machine, t turn) answer {
	headers := map[string]string{"X-Attempt-Id": t.attempt, "X-Program-Id": t.program, "X-Session-Id": t.program + "1",
		"X-Horizon-Remaining": "8000", "X-Token-Budget": strconv.Itoa(t.budget), "X-Model": "m",
		"X-Token-Counts":  fmt.Sprintf("%d,%d", t.prompt, t.most),
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:%d,%s:%d", t.shared, t.program, t.prompt-t.shared), "X-Deadline-Remaining": "4000"}
	if t.horizon != 0 {
		headers["X-Horizon-Remaining"] = strconv.FormatInt(t.horizon.Milliseconds(), 10)
	}
	if t.parts != "" {
		headers["X-Prompt-Prefix"] = t.parts
	}
	if t.previous != "" {
		headers["X-Previous-Turn"] = t.previous
	}
	return b.send(node, t.prefix+"2f", headers, t.body)
}

func (b *bench) send(node machine, path string, headers map[string]string, body []byte) answer {
	r, err := http.NewRequest("POST", "http://"+b.fleet.address(node, frontPort)+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = hostName
	r.Header.Set("X-Credential", tenantKey)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	got, err := requester.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	return answer{status: got.StatusCode, seal: got.Header.Get("X-Replica-Seal"), body: string(text), err: err, retry: got.Header.Get("Retry-After")}
}

// data returns the data of a stream's events, each followed by a line feed.
func data(stream string) string {
	var all strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		if value, ok := strings.CutPrefix(line, "data: "); ok {
			all.WriteString(value + "\n")
		}
	}
	return all.String()
}
