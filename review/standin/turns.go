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
