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

// backend is a stand-in for a model or an application.
type backend struct {
	fleet   *Fleet
	service string
	id      string
	zone    string
	address string
	key     string
	life    context.Context
	stop    context.CancelFunc
	leave   chan struct{}
	loses   float64
}

// Backend runs one stand-in back end by itself, until the context ends.
func Backend(ctx context.Context, service, id, zone, address string, nodes []string, key string) error {
	f := &Fleet{start: time.Now(), notes: make(chan func(*judge.Record)), ctx: ctx}
	for _, node := range nodes {
		f.nodes = append(f.nodes, &Machine{requester: node})
	}
	b := &backend{fleet: f, service: service, id: id, zone: zone, address: address, key: key}
	b.run(ctx)
	for {
		select {
		case what := <-f.notes:
			what(&judge.Record{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *backend) run(ctx context.Context) {
	b.life, b.stop = context.WithCancel(ctx)
	b.leave = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/turns", b.turn)
	mux.HandleFunc("POST /v1/calls", b.call)
	server := &http.Server{Addr: b.address, Handler: mux}
	context.AfterFunc(b.life, func() { server.Close() })
	go server.ListenAndServe()
	for i := 0; i < 2; i++ {
		go b.announce(b.leave)
	}
}

// announce keeps this replica known at two nodes, each again and again with the
// stamp that it gave. A node that does not answer is left for another.
func (b *backend) announce(leave <-chan struct{}) {
	for b.life.Err() == nil {
		at, stamp := b.fleet.anyNode(), ""
		for b.life.Err() == nil {
			leaving := false
			select {
			case <-leave:
				leaving = true
			default:
			}
			heard, ok := b.tell(at, stamp, leaving)
			if !ok {
				pause(b.life, 20*time.Millisecond, 50*time.Millisecond)
				break
			}
			stamp = heard.Token
			select {
			case <-time.After(time.Duration(heard.NextMS) * time.Millisecond):
			case <-b.life.Done():
			case <-unless(leaving, leave):
			}
		}
	}
}

// unless is a channel that is only waited for while nothing came of it yet.
func unless(already bool, what <-chan struct{}) <-chan struct{} {
	if already {
		return nil
	}
	return what
}

func (b *backend) tell(at *Machine, stamp string, leaving bool) (heard replica.AnnouncementReply, ok bool) {
	body, _ := json.Marshal(replica.Announcement{Replica: node.Replica{Service: b.service, ID: b.id, Address: b.address, Zone: b.zone, Leaving: leaving}, Token: stamp})
	ctx, cancel := context.WithTimeout(b.life, 400*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", "http://"+at.requester+"/v1/replicas", bytes.NewReader(body))
	if err != nil {
		return heard, false
	}
	r.Header.Set("Authorization", "Bearer "+b.key)
	got, err := http.DefaultClient.Do(r)
	if err != nil {
		return heard, false
	}
	defer got.Body.Close()
	if got.StatusCode != 200 || json.NewDecoder(got.Body).Decode(&heard) != nil {
		return heard, false
	}
	if leaving {
		b.fleet.note(func(r *judge.Record) {
			for _, l := range r.Leaving {
				if l.Replica == b.id {
					return
				}
			}
			r.Leaving = append(r.Leaving, judge.Leaving{At: b.fleet.now(), Replica: b.id})
		})
	}
	return heard, true
}

func (b *backend) turn(w http.ResponseWriter, r *http.Request) {
	var p struct {
		Shot      string       `json:"Shot"`
		Tenant    string       `json:"Tenant"`
		Program   string       `json:"Program"`
		Line      string       `json:"Line"`
		Say       string       `json:"Say"`
		MaxTokens int64        `json:"max_tokens"`
		History   []judge.Turn `json:"History"`
	}
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		w.WriteHeader(400)
		return
	}
	seen := judge.Attempt{At: b.fleet.now(), Service: b.service, Replica: b.id, Tenant: p.Tenant, Program: p.Program, Conversation: p.Line, RequestID: p.Say, History: p.History, MaxTokens: p.MaxTokens}
	var text strings.Builder
	pieces := 3 + rand.IntN(4)
	lost := -1
	if rand.Float64() < b.loses {
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
		piece := fmt.Sprintf("[%s %s %d]", b.id, p.Say, i)
		text.WriteString(piece)
		seen.Tokens += tokens
		list, counts = append(list, piece), append(counts, tokens)
	}
	seen.Text = text.String()
	b.fleet.note(func(r *judge.Record) { r.Attempts = append(r.Attempts, seen) })
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
		Mark string `json:"Mark"`
	}
	json.NewDecoder(r.Body).Decode(&p)
	seen := judge.Attempt{At: b.fleet.now(), Service: b.service, Replica: b.id, Tenant: r.Header.Get("Saffronfall-Tenant"), Program: r.Header.Get("Saffronfall-Program"),
		RequestID: p.Mark, OnceKey: r.Header.Get("Once-Key"), Tool: r.Header.Get("Once-Key") == ""}
	b.fleet.note(func(r *judge.Record) { r.Attempts = append(r.Attempts, seen) })
	time.Sleep(time.Duration(2+rand.IntN(20)) * time.Millisecond)
	if rand.Float64() < b.loses {
		panic(http.ErrAbortHandler)
	}
	json.NewEncoder(w).Encode(map[string]string{"done": p.Mark})
}
