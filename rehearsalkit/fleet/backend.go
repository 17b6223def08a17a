package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"saffronfall/peer/node"
	"saffronfall/peer/replica"
	"saffronfall/rehearsalkit/judge"
)

// backend is a simulated replica of a model or an application.
type backend struct {
	fleet    *Fleet
	service  string
	id       string
	zone     string
	address  string
	key      string
	ctx      context.Context
	stop     context.CancelFunc
	leaving  chan struct{}
	lossRate float64
}

// Backend runs one back end without a fleet until the context ends.
func Backend(ctx context.Context, service, id, zone, address string, nodes []string, key string) error {
	f := &Fleet{start: time.Now(), updates: make(chan func(*judge.Record)), ctx: ctx}
	for _, node := range nodes {
		f.nodes = append(f.nodes, &Process{requester: node})
	}
	b := &backend{fleet: f, service: service, id: id, zone: zone, address: address, key: key}
	b.run(ctx)
	for {
		select {
		case change := <-f.updates:
			change(&judge.Record{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *backend) run(ctx context.Context) {
	b.ctx, b.stop = context.WithCancel(ctx)
	b.leaving = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/turns", b.turn)
	mux.HandleFunc("POST /v1/calls", b.call)
	server := &http.Server{Addr: b.address, Handler: mux}
	context.AfterFunc(b.ctx, func() { server.Close() })
	go server.ListenAndServe()
	// Two loops, so that the replica is usually announced at two nodes.
	for i := 0; i < 2; i++ {
		go b.announce(b.leaving)
	}
}

// announce registers the replica and renews the registration with the version that the node
// returned. After a failure it changes to a random node.
func (b *backend) announce(leaving <-chan struct{}) {
	for b.ctx.Err() == nil {
		at, version := b.fleet.anyNode(), ""
		for b.ctx.Err() == nil {
			isLeaving := false
			select {
			case <-leaving:
				isLeaving = true
			default:
			}
			answer, ok := b.sendAnnouncement(at, version, isLeaving)
			if !ok {
				pause(b.ctx, 20*time.Millisecond, 50*time.Millisecond)
				break
			}
			version = answer.Token
			select {
			case <-time.After(time.Duration(answer.NextMS) * time.Millisecond):
			case <-b.ctx.Done():
			case <-nilIf(isLeaving, leaving):
			}
		}
	}
}

// nilIf returns channel or, if already is true, nil, which is never ready in a select.
func nilIf(already bool, channel <-chan struct{}) <-chan struct{} {
	if already {
		return nil
	}
	return channel
}

const announcementTimeout = 400 * time.Millisecond

func (b *backend) sendAnnouncement(at *Process, version string, isLeaving bool) (answer replica.AnnouncementReply, ok bool) {
	body, _ := json.Marshal(replica.Announcement{
		Replica: node.Replica{Service: b.service, ID: b.id, Address: b.address, Zone: b.zone, Leaving: isLeaving},
		Token:   version,
	})
	ctx, cancel := context.WithTimeout(b.ctx, announcementTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+at.requester+"/v1/replicas", bytes.NewReader(body))
	if err != nil {
		return answer, false
	}
	r.Header.Set("Authorization", "Bearer "+b.key)
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer, false
	}
	defer reply.Body.Close()
	if reply.StatusCode != 200 || json.NewDecoder(reply.Body).Decode(&answer) != nil {
		return answer, false
	}
	if isLeaving {
		b.fleet.update(func(r *judge.Record) {
			for _, l := range r.Leaving {
				if l.Replica == b.id {
					return
				}
			}
			r.Leaving = append(r.Leaving, judge.Leaving{At: b.fleet.now(), Replica: b.id})
		})
	}
	return answer, true
}

func (b *backend) turn(w http.ResponseWriter, r *http.Request) {
	var p struct {
		Attempt      string       `json:"Shot"`
		Tenant       string       `json:"Tenant"`
		Program      string       `json:"Program"`
		Conversation string       `json:"Line"`
		Input        string       `json:"Say"`
		MaxTokens    int64        `json:"max_tokens"`
		History      []judge.Turn `json:"History"`
	}
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		w.WriteHeader(400)
		return
	}
	seen := judge.Attempt{
		At:           b.fleet.now(),
		Service:      b.service,
		Replica:      b.id,
		Tenant:       p.Tenant,
		Program:      p.Program,
		Conversation: p.Conversation,
		RequestID:    p.Input,
		History:      p.History,
		MaxTokens:    p.MaxTokens,
	}
	var text strings.Builder
	pieces := 3 + rand.IntN(4)
	lost := -1
	if rand.Float64() < b.lossRate {
		lost = rand.IntN(pieces)
	}
	encoder := json.NewEncoder(w)
	var list []string
	var counts []int64
	for i := 0; i < pieces; i++ {
		tokens := min(1+rand.Int64N(60), p.MaxTokens-seen.Tokens)
		if i == lost || tokens <= 0 {
			break
		}
		piece := fmt.Sprintf("[%s %s %d]", b.id, p.Input, i)
		text.WriteString(piece)
		seen.Tokens += tokens
		list, counts = append(list, piece), append(counts, tokens)
	}
	seen.Text = text.String()
	b.fleet.update(func(r *judge.Record) { r.Attempts = append(r.Attempts, seen) })
	for i := range list {
		encoder.Encode(map[string]any{"text": list[i], "tokens": counts[i]})
		w.(http.Flusher).Flush()
		select {
		case <-time.After(time.Duration(10+rand.IntN(60)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if lost >= 0 {
		panic(http.ErrAbortHandler)
	}
	encoder.Encode(map[string]any{"done": true, "total": seen.Tokens})
}

func (b *backend) call(w http.ResponseWriter, r *http.Request) {
	var p struct {
		RequestID string `json:"Mark"`
	}
	json.NewDecoder(r.Body).Decode(&p)
	seen := judge.Attempt{
		At:        b.fleet.now(),
		Service:   b.service,
		Replica:   b.id,
		Tenant:    r.Header.Get("Saffronfall-Tenant"),
		Program:   r.Header.Get("Saffronfall-Program"),
		RequestID: p.RequestID,
		OnceKey:   r.Header.Get("Once-Key"),
		Tool:      r.Header.Get("Once-Key") == "",
	}
	b.fleet.update(func(r *judge.Record) { r.Attempts = append(r.Attempts, seen) })
	time.Sleep(time.Duration(2+rand.IntN(20)) * time.Millisecond)
	if rand.Float64() < b.lossRate {
		panic(http.ErrAbortHandler)
	}
	json.NewEncoder(w).Encode(map[string]string{"done": p.RequestID})
}
