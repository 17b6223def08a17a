package front

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/relay"
)

func keyedSendStep() relay.Step {
	step := sendStep
	step.RunToEnd = true
	return step
}

func withKey(key string) string {
	return strings.Replace(request, "Content-L", "Saffronfall-Operation-Key: "+key+"\r\nContent-L", 1)
}

func TestOperationKeyReachesNodeAndReplica(t *testing.T) {
	r := newStaticReplica(t, lengthAnswer)
	n := newNode(t, []relay.Step{keyedSendStep(), deliverStep}, r)
	q := n.dial(t)
	q.write(withKey("k-5512"))
	if got := q.read("POST"); got.StatusCode != 200 {
		t.Fatalf("status %d", got.StatusCode)
	}
	if dispatched := <-n.dispatched; dispatched.OperationKey != "k-5512" {
		t.Errorf("dispatched with key %q", dispatched.OperationKey)
	}
	if received := <-r.received; received.request.Header.Get("Saffronfall-Operation-Key") != "k-5512" {
		t.Errorf("the replica got %q", received.head)
	}
}

// Keys of any length and number are one bounded key, and distinct ones stay distinct.
func TestUnusualOperationKeysAreBoundedAndDistinct(t *testing.T) {
	long := strings.Repeat("k", 3*core.MaxKeyBytes)
	seen := map[string]string{}
	for _, raw := range []string{
		withKey("a"), withKey("b"), withKey(long), withKey(long + "x"), withKey("x" + long), withKey(long[:core.MaxKeyBytes]),
		withKey("a\r\nSaffronfall-Operation-Key: b"), withKey("b\r\nSaffronfall-Operation-Key: a"),
	} {
		n := newNode(t, []relay.Step{{Kind: relay.StepRefuse, Status: 503}})
		q := n.dial(t)
		q.write(raw)
		if got := q.read("POST"); got.StatusCode != 503 {
			t.Fatalf("status %d", got.StatusCode)
		}
		key := (<-n.dispatched).OperationKey
		if other, twice := seen[key]; twice || key == "" || len(key) > core.MaxKeyBytes {
			t.Errorf("key %q of %d bytes, also of %.80q", key, len(key), other)
		}
		seen[key] = raw
	}
}

// A repeat must get the first response whole, under its own attempt ID.
func TestStoredResponseIsReplayed(t *testing.T) {
	for status, body := range map[int]string{200: "\x00\xff\r\nreceipt", 201: "", 500: "oops"} {
		answer := fmt.Sprintf("HTTP/1.1 %d X\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Seal: s\r\n", status)
		r := newStaticReplica(t, answer+"Content-Type: text/x\r\nX-Many: 1\r\nX-Many: 2\r\nSaffronfall-Load: 1,0,6\r\nTransfer-Encoding: chunked\r\n\r\n"+chunkOf(body)+"0\r\n\r\n")
		first := newNode(t, []relay.Step{keyedSendStep(), deliverStep}, r)
		q := first.dial(t)
		q.write(withKey("k"))
		firstResponse := q.read("POST")
		firstBody, _ := io.ReadAll(firstResponse.Body)
		outcome := <-first.outcomes
		if outcome.Response == nil || outcome.Response.Status != status || string(firstBody) != body {
			t.Fatalf("outcome %+v, body %q", outcome, firstBody)
		}
		second := newNode(t, []relay.Step{{Kind: relay.StepReplay, KeyedStep: relay.KeyedStep{Response: outcome.Response}}})
		q = second.dial(t)
		q.write(strings.Replace(withKey("k"), "a1", "a2", 1))
		got := q.read("POST")
		text, err := io.ReadAll(got.Body)
		if err != nil || got.StatusCode != status || string(text) != body {
			t.Errorf("%d %q %v", got.StatusCode, text, err)
		}
		for name, want := range map[string]string{"Saffronfall-Attempt": "a2", "Saffronfall-Seal": "s", "Content-Type": "text/x", "X-Many": "1,2", "Saffronfall-Load": ""} {
			if value := strings.Join(got.Header.Values(name), ","); value != want {
				t.Errorf("%s: %q, want %q", name, value, want)
			}
		}
	}
}

func chunkOf(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// The operation of a requester that disconnects runs to its end, so that its repeats get the response.
func TestOperationOutlivesItsRequester(t *testing.T) {
	proceed := make(chan struct{})
	r := newReplica(t, func(c net.Conn, _ capturedRequest) {
		<-proceed
		io.WriteString(c, lengthAnswer)
	})
	n := newNode(t, []relay.Step{keyedSendStep(), deliverStep}, r)
	q := n.dial(t)
	q.write(withKey("k"))
	<-r.received
	q.Close()
	time.Sleep(100 * time.Millisecond)
	close(proceed)
	if outcome := <-n.outcomes; outcome.Kind != relay.OutcomeComplete || outcome.Response == nil || string(outcome.Response.Body) != "ok" {
		t.Fatalf("%+v", outcome)
	}
}

func TestServiceInProgressIsTold(t *testing.T) {
	r := newStaticReplica(t, "HTTP/1.1 409 X\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	n := newNode(t, []relay.Step{keyedSendStep(), {Kind: relay.StepRefuse, Status: 409, Check: "operation key"}}, r)
	q := n.dial(t)
	q.write(withKey("k"))
	if got := q.read("POST"); got.StatusCode != 409 {
		t.Errorf("status %d", got.StatusCode)
	}
	if outcome := <-n.outcomes; outcome.Kind != relay.OutcomeNotRun || !outcome.InProgress {
		t.Errorf("%+v", outcome)
	}
}
