package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a replica has begun work on.
type run struct {
	attempt, tenant, replica, path string
	at                             time.Time
	bodySum                        string
}

// replica is a sound server of a service.
type replica struct {
	b       *bench
	id      string
	plant   string
	address string
	zone    string
	// work is how long a request takes.
	work   time.Duration
	events int

	lock    sync.Mutex
	running int
	runs    []run
	calls   int
}

const replicaSlots = 16

func newReplica(b *bench, plant string, number int) (*replica, error) {
	edges := b.fleet.of("edge")
	edge := edges[number%len(edges)]
	ip := edge.ip[:strings.LastIndexByte(edge.ip, '.')+1] + strconv.Itoa(101+number)
	r := &replica{b: b, id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), plant: plant, zone: edge.zone, work: 20 * time.Millisecond, events: 7,
		address: net.JoinHostPort(ip, strconv.Itoa(b.fleet.port+replicaPort))}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
	go http.Serve(listener, r)
	go r.announce()
	return r, nil
}

// announce sends a heartbeat to a desk in every period, and to the next one if it isn't acknowledged.
func (r *replica) announce() {
	caller := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	edges := r.b.fleet.of("edge")
	for desk := 0; ; desk++ {
		for range edges {
			r.calls++
			beat, _ := json.Marshal(map[string]any{"plant": r.plant, "address": r.address, "zoneName": r.zone, "revision": "v1",
				"capacity": replicaSlots, "condition": "settled", "warmupLeftMs": 0, "callSeq": r.calls})
			url := "http://" + r.b.fleet.address(edges[desk%len(edges)], controlPort) + "/v1/replicas/" + r.id + "/heartbeat"
			answer, err := caller.Post(url, "application/json", bytes.NewReader(beat))
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode/100 == 2 {
					break
				}
			}
			desk++
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// ServeHTTP runs a request, unless it is meant for another replica or there is no slot.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		w.Header().Set("X-Replica-Id", r.id)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	refuse := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if target := request.Header.Get("X-Target-Replica"); target != "" && target != r.id {
		refuse(421)
		return
	}
	sum := sha256.Sum256(body)
	if !r.begin(run{attempt: attempt, tenant: request.Header.Get("X-Tenant"), replica: r.id, path: request.URL.Path, at: time.Now(),
		bodySum: hex.EncodeToString(sum[:8])}) {
		refuse(503)
		return
	}
	defer r.finish()
	w.Header().Set("X-Replica-Seal", r.id+"."+attempt)
	w.Header().Set("X-Replica-Load", fmt.Sprintf("%d,0,%d", r.load(), replicaSlots))
	if r.plant == appPlant {
		time.Sleep(r.work)
		w.Header().Set("Content-Length", "800")
		w.Write(bytes.Repeat([]byte("a"), 800))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for event := range r.events {
		time.Sleep(r.work)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", event+1, attempt, event+1); err != nil {
			return
		}
		controller.Flush()
	}
}

// noteRuns records what the replicas have run.
func (b *bench) noteRuns() {
	for _, r := range b.servers {
		r.lock.Lock()
		b.note("replica %s (%s) ran %d requests", r.id, r.plant, len(r.runs))
		for _, run := range r.runs {
			b.note("replica %s ran %s of tenant %s at %.3f, body %s", r.id, run.attempt, run.tenant,
				run.at.Sub(b.began).Seconds(), run.bodySum)
		}
		r.lock.Unlock()
	}
}

func (r *replica) begin(begun run) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.running >= replicaSlots {
		return false
	}
	r.running++
	r.runs = append(r.runs, begun)
	return true
}

func (r *replica) finish() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.running--
}

func (r *replica) load() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.running
}
