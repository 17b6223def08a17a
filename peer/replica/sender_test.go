package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"saffronfall/peer/node"
)

func TestSend(t *testing.T) {
	abort := func(w http.ResponseWriter) { w.(http.Flusher).Flush(); panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		name, kind string
		respond    func(w http.ResponseWriter)
		last       string
		chunks     int
	}{
		{"complete turn", "model", func(w http.ResponseWriter) {
			fmt.Fprint(w, "{\"text\":\"a\",\"tokens\":2}\n{\"text\":\"b\",\"tokens\":3}\n{\"done\":true,\"total\":5}\n")
		}, node.EventDone, 2},
		{"no final line", "model", func(w http.ResponseWriter) { fmt.Fprint(w, "{\"text\":\"a\",\"tokens\":2}\n") }, node.EventInterrupted, 1},
		{"wrong total", "model", func(w http.ResponseWriter) {
			fmt.Fprint(w, "{\"text\":\"a\",\"tokens\":2}\n{\"done\":true,\"total\":9}\n")
		}, node.EventInterrupted, 1},
		{"aborted", "model", func(w http.ResponseWriter) { fmt.Fprint(w, "{\"text\":\"a\",\"tokens\":2}\n"); abort(w) }, node.EventInterrupted, 1},
		{"not JSON", "model", func(w http.ResponseWriter) { fmt.Fprint(w, "hello\n") }, node.EventInterrupted, 0},
		{"negative tokens", "model", func(w http.ResponseWriter) { fmt.Fprint(w, "{\"text\":\"a\",\"tokens\":-2}\n") }, node.EventInterrupted, 0},
		{"status 503, not run", "model", func(w http.ResponseWriter) { w.WriteHeader(503); fmt.Fprint(w, `{"ran":"no"}`) }, node.EventNotRun, 0},
		{"status 503 without a statement", "model", func(w http.ResponseWriter) { w.WriteHeader(503); fmt.Fprint(w, `{}`) }, node.EventInterrupted, 0},
		{"done", "once", func(w http.ResponseWriter) { fmt.Fprint(w, `{"receipt":1}`) }, node.EventDone, 0},
		{"done with a status", "once", func(w http.ResponseWriter) { w.WriteHeader(422); fmt.Fprint(w, `{"no":1}`) }, node.EventDone, 0},
		{"lost", "once", func(w http.ResponseWriter) { abort(w) }, node.EventInterrupted, 0},
		{"not run", "once", func(w http.ResponseWriter) { w.WriteHeader(409); fmt.Fprint(w, `{"ran":"no"}`) }, node.EventNotRun, 0},
		{"redirected", "once", func(w http.ResponseWriter) { w.Header().Set("Location", "/elsewhere"); w.WriteHeader(307) }, node.EventInterrupted, 0},
	} {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { calls++; c.respond(w) }))
		var events []node.AttemptEvent
		s := NewSender(&net.Dialer{}, 1<<16)
		s.Send(context.Background(), node.StartAttempt{
			Attempt: 1,
			Kind:    c.kind,
			Address: server.Listener.Addr().String(),
			Timeout: 5 * time.Second,
			Payload: node.Payload{Body: []byte("{}")},
		}, func(e node.AttemptEvent) { events = append(events, e) })
		server.Close()
		if n := len(events); n != c.chunks+1 || events[n-1].Kind != c.last {
			t.Errorf("%s: %+v", c.name, events)
		}
		if calls != 1 {
			t.Errorf("%s: %d calls", c.name, calls)
		}
	}
	var events []node.AttemptEvent
	NewSender(&net.Dialer{}, 1<<16).Send(
		context.Background(),
		node.StartAttempt{Kind: "once", Address: "127.0.0.1:1", Timeout: time.Second},
		func(e node.AttemptEvent) { events = append(events, e) })
	if len(events) != 1 || events[0].Kind != node.EventNotRun {
		t.Errorf("unreachable address: %+v", events)
	}
}

func TestAnnouncements(t *testing.T) {
	var announceErr error
	handler := AnnouncementHandler("key", func(context.Context, node.Replica, string) (node.AnnounceReply, error) {
		return node.AnnounceReply{}, announceErr
	})
	for _, c := range []struct {
		key, body string
		status    int
	}{
		{"key", `{"service":"model","id":"m","address":"10.0.0.1:80"}`, 200},
		{"wrong", `{"service":"model","id":"m","address":"10.0.0.1:80"}`, 401},
		{"key", `{"service":"model","id":"m","address":"host:80"}`, 400},
		{"key", `{"service":"a/b","id":"m","address":"10.0.0.1:80"}`, 400},
		{"key", `{"service":"model","id":"m","address":"10.0.0.1:80","ended":true}`, 400},
		{"key", `{"service":"model","colour":"red"}`, 400},
		{"key", `{`, 400},
	} {
		r := httptest.NewRequest("POST", "/v1/replicas", strings.NewReader(c.body))
		r.Header.Set("Authorization", "Bearer "+c.key)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != c.status || (w.Code != 200 && !strings.Contains(w.Body.String(), `"ran":"no"`)) {
			t.Errorf("%s: %d %s", c.body, w.Code, w.Body)
		}
	}
	announceErr = context.Canceled
	r := httptest.NewRequest("POST", "/v1/replicas", strings.NewReader(`{"service":"model","id":"m","address":"10.0.0.1:80","leaving":true}`))
	r.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if w.Code != 503 {
		t.Errorf("a leaving replica that was not registered: %d", w.Code)
	}
}
