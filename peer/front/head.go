package front

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dchest/siphash"

	"saffronfall/peer/core"
	"saffronfall/peer/relay"
	"saffronfall/rule/placement"
)

// maxDeadlineMS caps deadlines and horizons (one day).
const maxDeadlineMS = 24 * 60 * 60 * 1000

// Bytes of a head's lines besides the method and URI, or the header's name and value.
const (
	requestLineOverhead = len("  HTTP/1.1\r\n")
	headerLineOverhead  = len(": \r\n")
)

// parseHead reads a request's head. The string says what is malformed, or is empty.
func (h *handler) parseHead(r *http.Request) (relay.Request, string) {
	names := h.Headers
	request := relay.Request{
		Host: r.Host, Path: r.URL.Path, Attempt: r.Header.Get(names.Attempt), Previous: r.Header.Get(names.Previous), Key: r.Header.Get(names.Key),
		Operation: relay.Operation{OperationKey: operationKey(r.Header.Values(names.Operation)), Program: r.Header.Get(names.Program),
			Session: r.Header.Get(names.Session)},
	}
	_, request.HasKey = r.Header[http.CanonicalHeaderKey(names.Key)]
	if i := strings.IndexByte(r.RequestURI, '?'); i >= 0 {
		request.Path = r.RequestURI[:i]
	} else if r.RequestURI != "" {
		request.Path = r.RequestURI
	}
	if request.Attempt == "" {
		return request, names.Attempt + " is missing"
	}
	request.HeadBytes = int64(len(r.Method) + len(r.RequestURI) + requestLineOverhead)
	for name, values := range r.Header {
		for _, value := range values {
			request.HeadBytes += int64(len(name) + len(value) + headerLineOverhead)
		}
	}
	if text := r.Header.Get(names.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(ms) || math.IsInf(ms, 0) {
			return request, names.Deadline + " is not a number"
		}
		request.Remaining = time.Duration(min(max(ms, -1), maxDeadlineMS) * float64(time.Millisecond))
		// Zero means no deadline.
		if request.Remaining == 0 {
			request.Remaining = -1
		}
	}
	request.Horizon = parseHorizon(r.Header.Get(names.Horizon))
	if fault := h.parseTokens(r, &request); fault != "" {
		return request, fault
	}
	request.Prompt = h.parsePrompt(r.Header.Get(names.Prompt))
	if key := r.Header.Get(names.Affinity); key != "" {
		// The lowest bit is set because zero means no affinity.
		request.Affinity = h.hash(key) | 1
	}
	return request, ""
}

// operationKey joins the values of the header, as one field with commas. A long key is replaced by its
// digest.
func operationKey(values []string) string {
	key := strings.Join(values, ",")
	if len(key) <= core.MaxKeyBytes {
		return key
	}
	digest := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(digest[:])
}

// parseTokens reads the program's budget and the turn's greatest output.
func (h *handler) parseTokens(r *http.Request, request *relay.Request) string {
	names := h.Headers
	if text := r.Header.Get(names.Budget); text != "" {
		budget, err := strconv.ParseInt(text, 10, 64)
		if err != nil || budget < 0 {
			return names.Budget + " is not a count"
		}
		// Zero means no budget, so a spent one counts as 1.
		request.TokenBudget = max(budget, 1)
	}
	if text := r.Header.Get(names.Tokens); text != "" {
		promptTokens, maxTokens, _ := strings.Cut(text, ",")
		if count, err := strconv.ParseInt(strings.TrimSpace(promptTokens), 10, 64); err != nil || count < 0 {
			return names.Tokens + " is not two counts"
		}
		count, err := strconv.ParseInt(strings.TrimSpace(maxTokens), 10, 64)
		if err != nil || count < 0 {
			return names.Tokens + " is not two counts"
		}
		request.MaxTokens = count
	}
	return ""
}

// parsePrompt ignores malformed segments, since they are only hints.
func (h *handler) parsePrompt(text string) (segments []placement.PromptSegment) {
	if text == "" {
		return nil
	}
	for _, field := range strings.Split(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
		count, err := strconv.ParseInt(tokens, 10, 64)
		if err != nil || count < 0 {
			continue
		}
		segments = append(segments, placement.PromptSegment{ID: h.hash(id), Tokens: count})
	}
	return segments
}

// hash uses the fleet's secret key, so that all nodes agree and no tenant can choose names that
// collide at one replica.
func (h *handler) hash(name string) uint64 {
	return siphash.Hash(h.HashKey[0], h.HashKey[1], []byte(name))
}

// parseHorizon ignores a malformed value, since it only affects refusals during overload.
func parseHorizon(text string) relay.Horizon {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(ms) {
		return relay.Horizon{}
	}
	return relay.Horizon{Remaining: time.Duration(min(max(ms, -maxDeadlineMS), maxDeadlineMS) * float64(time.Millisecond)), Known: true}
}
