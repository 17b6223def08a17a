package front

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dchest/siphash"

	"saffronfall/peer/relay"
	"saffronfall/rule/placement"
)

// maxDeadlineMS caps deadlines and horizons (one day).
const maxDeadlineMS = 86400000

// parseHead reads a request's head. The string says what is malformed, or is empty.
func (h *handler) parseHead(r *http.Request) (relay.Request, string) {
	n := h.Headers
	a := relay.Request{
		Host: r.Host, Path: r.URL.Path, Attempt: r.Header.Get(n.Attempt), Program: r.Header.Get(n.Program),
		Session: r.Header.Get(n.Session), Previous: r.Header.Get(n.Previous), Key: r.Header.Get(n.Key),
	}
	_, a.HasKey = r.Header[http.CanonicalHeaderKey(n.Key)]
	if i := strings.IndexByte(r.RequestURI, '?'); i >= 0 {
		a.Path = r.RequestURI[:i]
	} else if r.RequestURI != "" {
		a.Path = r.RequestURI
	}
	if a.Attempt == "" {
		return a, n.Attempt + " is missing"
	}
	a.HeadBytes = int64(len(r.Method) + len(r.RequestURI) + 12)
	for name, values := range r.Header {
		for _, value := range values {
			a.HeadBytes += int64(len(name) + len(value) + 4)
		}
	}
	if text := r.Header.Get(n.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(ms) || math.IsInf(ms, 0) {
			return a, n.Deadline + " is not a number"
		}
		a.Remaining = time.Duration(min(max(ms, -1), maxDeadlineMS) * float64(time.Millisecond))
		// Zero means no deadline.
		if a.Remaining == 0 {
			a.Remaining = -1
		}
	}
	a.Horizon = parseHorizon(r.Header.Get(n.Horizon))
	if text := r.Header.Get(n.Budget); text != "" {
		budget, err := strconv.ParseInt(text, 10, 64)
		if err != nil || budget < 0 {
			return a, n.Budget + " is not a count"
		}
		// Zero means no budget, so a spent one counts as 1.
		a.TokenBudget = max(budget, 1)
	}
	if text := r.Header.Get(n.Tokens); text != "" {
		prompt, most, _ := strings.Cut(text, ",")
		if read, err := strconv.ParseInt(strings.TrimSpace(prompt), 10, 64); err != nil || read < 0 {
			return a, n.Tokens + " is not two counts"
		}
		count, err := strconv.ParseInt(strings.TrimSpace(most), 10, 64)
		if err != nil || count < 0 {
			return a, n.Tokens + " is not two counts"
		}
		a.MaxTokens = count
	}
	a.Prompt = h.parsePrompt(r.Header.Get(n.Prompt))
	if key := r.Header.Get(n.Affinity); key != "" {
		// The lowest bit is set because zero means no affinity.
		a.Affinity = h.hash(key) | 1
	}
	return a, ""
}

// parsePrompt ignores malformed parts, since they are only placement hints.
func (h *handler) parsePrompt(text string) (parts []placement.PromptSegment) {
	if text == "" {
		return nil
	}
	for _, field := range strings.Split(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
		count, err := strconv.ParseInt(tokens, 10, 64)
		if err != nil || count < 0 {
			continue
		}
		parts = append(parts, placement.PromptSegment{ID: h.hash(id), Tokens: count})
	}
	return parts
}

// hash uses the fleet's secret key, so that all nodes agree and no tenant can choose names that
// collide at one replica.
func (h *handler) hash(name string) uint64 {
	return siphash.Hash(h.HashKey[0], h.HashKey[1], []byte(name))
}

// parseHorizon ignores a malformed value, since it only affects the order of service.
func parseHorizon(text string) relay.Horizon {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(ms) {
		return relay.Horizon{}
	}
	return relay.Horizon{Remaining: time.Duration(min(max(ms, -maxDeadlineMS), maxDeadlineMS) * float64(time.Millisecond)), Known: true}
}
