package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// replica is a sound stand-in for a replica of a service with event streams. Each turn puts out a
// fixed number of events.
type replica struct {
	id, service, address string
	events               int
	fleet                *fleet
	sequence             atomic.Int64
	runs                 atomic.Int64
	stop                 chan struct{}
}

func startReplica(f *fleet, id, service, ip string, events int) (*replica, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, address: l.Addr().String(), events: events, fleet: f, stop: make(chan struct{})}
	go http.Serve(l, r)
	go r.beat()
	return r, nil
}

// beat announces the replica to a desk, to another one after a failure.
func (r *replica) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	desk := 0
	for {
		body, _ := json.Marshal(map[string]any{"plant": r.service, "address": r.address, "zoneName": "sala-quito", "revision": "v1",
			"capacity": 16, "condition": "settled", "warmupLeftMs": 0, "phase": "dual",
			"modelSet": []any{map[string]any{"ident": "m", "revision": 1, "adapterSet": []any{}}}, "callSeq": r.sequence.Add(1)})
		for i := 0; i < len(r.fleet.seeds); i++ {
			response, err := client.Post("http://"+r.fleet.seeds[desk]+"/v1/replicas/"+r.id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err == nil {
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode/100 == 2 {
					break
				}
			}
			desk = (desk + 1) % len(r.fleet.seeds)
		}
		select {
		case <-r.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// ServeHTTP runs a turn and answers with its events.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	io.Copy(io.Discard, q.Body)
	attempt := q.Header.Get("X-Attempt-Id")
	if target := q.Header.Get("X-Target-Replica"); target != "" && target != r.id || attempt == "" {
		w.Header().Set("X-Attempt-Id", attempt)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := r.runs.Add(1)
	r.fleet.record.log("replica %s runs %s for tenant %q, program %s", r.id, attempt, q.Header.Get("X-Tenant"), q.Header.Get("X-Program-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Replica-Seal", fmt.Sprintf("seal.%s.%d", r.id, run))
	w.Header().Set("X-Weight-Versions", "1")
	for i := 1; i <= r.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: word-%d\n\n", i, i)
		w.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}
