package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Names of the small deployment's configuration.
const (
	hostName    = "ficu95.example"
	modelPlant  = "huvo11a"
	appPlant    = "wuno96b"
	tenantName  = "hule930"
	tenantKey   = "3fexd9dnn2ctnfzs989a"
	keptPrefix  = "/pufi791/"
	callPrefix  = "/pule252/"
	plainPrefix = "/lohu930/"
)

// configuration returns a whole configuration like those that `fleetbench wire` prints. Change, if
// set, is applied to it before it is written.
func configuration(revision int, change func(document map[string]any)) []byte {
	stream := func(ident, prefix string, kept bool) map[string]any {
		return map[string]any{"ident": ident, "hostname": hostName, "pathPrefix": prefix, "mode": "streamed", "cutoffMs": 4000,
			"setpointMs": 250, "urgency": 0, "plant": modelPlant, "retries": 1, "retained": kept, "retentionS": 60.0,
			"unkeyed": false, "pinned": true, "resumable": false, "gapSetpointMs": 200}
	}
	document := map[string]any{
		"revision": revision,
		"channels": []any{
			stream("r-kept", keptPrefix, true),
			stream("r-plain", plainPrefix, false),
			map[string]any{"ident": "r-call", "hostname": hostName, "pathPrefix": callPrefix, "mode": "effectful", "cutoffMs": 3000,
				"setpointMs": 400, "urgency": 2, "plant": appPlant, "retries": 1, "retained": false, "retentionS": 60.0,
				"unkeyed": false, "pinned": false, "resumable": false, "gapSetpointMs": 0},
		},
		"plants": []any{
			map[string]any{"ident": modelPlant, "probe": "/health", "connCeiling": 190, "protocol": "h1", "tlsMode": false,
				"runtime": map[string]any{"capacity": 16, "kvCapacity": 186629, "kvTokenBytes": 327680, "linkMbps": 1100000.0,
					"tokensPerEvent": 9, "modelSet": []any{map[string]any{"ident": "m"}}}},
			map[string]any{"ident": appPlant, "probe": "/health", "connCeiling": 130, "protocol": "h1", "tlsMode": false},
		},
		"constraints": map[string]any{"headerMaxBytes": 16384, "bodyMaxBytes": 4194304, "headerWaitMs": 3000, "idleCutoffMs": 15000},
		"accounts": []any{
			map[string]any{"ident": tenantName, "credentials": []any{tenantKey}, "urgency": 1, "ratePerS": 264, "burstSize": 264},
		},
	}
	if change != nil {
		change(document)
	}
	text, _ := json.Marshal(document)
	return text
}

var control = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// order sends a call of the operator to any desk until it is answered clearly. It returns the status
// and the body, or 0.
func (b *bench) order(method, path, base string, body []byte, within time.Duration) (int, []byte) {
	edges := b.fleet.of("edge")
	next := rand.IntN(len(edges))
	for until := time.Now().Add(within); time.Now().Before(until); next++ {
		desk := edges[next%len(edges)]
		r, err := http.NewRequest(method, "http://"+b.fleet.address(desk, controlPort)+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		r.Header.Set("Content-Type", "application/json")
		if base != "" {
			r.Header.Set("X-Base-Version", base)
		}
		answer, err := control.Do(r)
		if err == nil {
			text, err := io.ReadAll(answer.Body)
			answer.Body.Close()
			if err == nil && answer.StatusCode < 500 && answer.StatusCode != 408 && answer.StatusCode != 429 {
				return answer.StatusCode, text
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, nil
}

// replace sends a whole configuration.
func (b *bench) replace(base int, text []byte, within time.Duration) int {
	status, _ := b.order("POST", "/v1/configuration/replace", strconv.Itoa(base), text, within)
	b.note("the operator sends a configuration on top of %d: %d", base, status)
	return status
}

// ready reports whether all nodes are ready.
func (b *bench) ready() bool {
	for _, m := range b.fleet.of("edge") {
		answer, err := control.Get("http://" + b.fleet.address(m, readyPort) + "/v1/readiness")
		if err != nil {
			return false
		}
		answer.Body.Close()
		if answer.StatusCode != 200 {
			return false
		}
	}
	return true
}

// found starts all processes and replicas, and puts the first configuration in force.
func (b *bench) found(model, app int) ([]*replica, bool) {
	if err := b.fleet.startAll(); err != nil {
		b.note("could not start: %v", err)
		return nil, false
	}
	var replicas []*replica
	for i := range model + app {
		plant := modelPlant
		if i >= model {
			plant = appPlant
		}
		r, err := newReplica(b, plant, i)
		if err != nil {
			b.note("could not start a replica: %v", err)
			return nil, false
		}
		replicas = append(replicas, r)
		b.servers = append(b.servers, r)
	}
	if b.replace(0, configuration(1, nil), 20*time.Second) != 200 {
		return nil, false
	}
	if !waitFor(15*time.Second, b.ready) {
		b.note("the nodes were not ready in time")
		return nil, false
	}
	// Each replica has announced itself at the latest after a beat.
	time.Sleep(2500 * time.Millisecond)
	return replicas, true
}
