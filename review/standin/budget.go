package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	tokensPerEvent = 9
	eventsPerTurn  = 10
	turnTokens     = tokensPerEvent * eventsPerTurn
	budgetTokens   = 10 * turnTokens
)

// turnsConfiguration has one streamed route and two tenants with the given keys.
func turnsConfiguration(revision int, keysOfFirst, keysOfSecond []string) map[string]any {
	return map[string]any{
		"revision": revision,
		"channels": []any{map[string]any{"ident": "r-turns", "hostname": "review.example", "pathPrefix": "/turns/", "mode": "streamed",
			"cutoffMs": 4000, "setpointMs": 200, "urgency": 0, "plant": "model", "retries": 2, "retained": false,
			"retentionS": 60.0, "unkeyed": false, "pinned": true, "resumable": false, "gapSetpointMs": 200}},
		"plants": []any{map[string]any{"ident": "model", "probe": "/health", "connCeiling": 190, "protocol": "h1", "tlsMode": false,
			"runtime": map[string]any{"capacity": 16, "kvCapacity": 186629, "kvTokenBytes": 327680, "linkMbps": 1100000.0,
				"tokensPerEvent": tokensPerEvent, "modelSet": []any{map[string]any{"ident": "m"}}}}},
		"constraints": map[string]any{"headerMaxBytes": 16384, "bodyMaxBytes": 4194304, "headerWaitMs": 3000, "idleCutoffMs": 15000},
		"accounts": []any{
			map[string]any{"ident": "tenant-a", "credentials": keysOfFirst, "urgency": 1, "ratePerS": 264, "burstSize": 264},
			map[string]any{"ident": "tenant-b", "credentials": keysOfSecond, "urgency": 1, "ratePerS": 264, "burstSize": 264},
		},
	}
}

// turn sends one turn of a program and returns its status and the tokens that the client got.
func turn(f *fleet, node *process, program, session, attempt, key string, history int) (status int, tokens int, whole bool) {
	body := []byte(strings.Repeat("word ", 20+history))
	request, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/turns/1", node.ip, frontPort), bytes.NewReader(body))
	request.Host = "review.example"
	for k, v := range map[string]string{
		"X-Attempt-Id": attempt, "X-Program-Id": program, "X-Session-Id": session, "X-Horizon-Remaining": "60000",
		"X-Token-Budget": fmt.Sprint(budgetTokens), "X-Token-Counts": fmt.Sprintf("%d,%d", 100+history, turnTokens),
		"X-Model": "m", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:80,%x:%d", history+16, 20+history),
		"X-Deadline-Remaining": "4000", "X-Credential": key,
	} {
		request.Header.Set(k, v)
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, false
	}
	defer response.Body.Close()
	events := 0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if response.StatusCode == 200 && strings.HasPrefix(scanner.Text(), "data:") {
			events++
		}
	}
	return response.StatusCode, events * tokensPerEvent, scanner.Err() == nil
}

// playBudget runs one program that takes turn after turn until it is told that its budget is spent.
// The trouble: after eight turns, a new configuration takes the client's key away from one tenant
// and adds it to another.
func playBudget(f *fleet, trouble bool) int {
	if err := f.startAll(); err != nil {
		f.record.log("a process did not start: %v", err)
		return 2
	}
	key := "3fexd9dnn2ctnfzs989a"
	if !f.replaceConfiguration(0, turnsConfiguration(4, []string{key, "nu6wsjnbanfqasnmgkcu"}, []string{"j3nr26tta828m82thhkm"}), 20*time.Second) {
		return 2
	}
	for i := 0; i < 2; i++ {
		r, err := startReplica(f, fmt.Sprintf("i-review%d", i), "model", fmt.Sprintf("%s.%d", f.prefix, 5+i), eventsPerTurn)
		if err != nil {
			return 2
		}
		defer close(r.stop)
	}
	for _, node := range f.nodes {
		if !f.waitReady(node, 20*time.Second) {
			f.record.log("%s is not ready", node.name)
			return 2
		}
	}
	time.Sleep(4 * time.Second) // the replicas are known, and the machines are in touch

	return takeTurns(f, key, trouble)
}

// takeTurns sends the program's turns, plays the change before the ninth, and judges the tokens given.
func takeTurns(f *fleet, key string, trouble bool) int {
	given, largest, refused, failures := 0, 0, false, 0
	for n := 1; n <= 40 && !refused; n++ {
		if n == 9 && trouble {
			if !f.replaceConfiguration(4, turnsConfiguration(9, []string{"nu6wsjnbanfqasnmgkcu"}, []string{"j3nr26tta828m82thhkm", key}), 4*time.Second) {
				return 2
			}
			time.Sleep(3 * time.Second) // applyMs, and a second more
		}
		node := f.nodes[n%len(f.nodes)]
		attempt := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, n)
		status, tokens, whole := turn(f, node, "program-1", "session-1", attempt, key, n)
		given += tokens
		largest = max(largest, tokens)
		f.record.log("client: turn %d (%s) at %s -> %d, %d tokens, whole %v; %d tokens given in all", n, attempt, node.name, status, tokens, whole, given)
		switch status {
		case 200:
			failures = 0
		case 402:
			refused = true
		default:
			// The turn is sent again after some 0.3 s, at most twice.
			if failures++; failures > 2 {
				f.record.log("the turn failed three times")
				return 2
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	f.record.log("budget %d, largest turn %d, given %d; refused at last: %v", budgetTokens, largest, given, refused)
	if given > budgetTokens+largest {
		f.record.log("BUDGET is broken: %d > %d + %d", given, budgetTokens, largest)
		return 1
	}
	if !refused {
		return 2
	}
	return 0
}
