package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/operator"
	"saffronfall/rule/rate"
)

// testCore answers the calls of operators with fixed reports.
func testCore(t *testing.T) clientOptions {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/shares", func(w http.ResponseWriter, r *http.Request) {
		operator.WriteJSON(w, http.StatusOK, operator.SharesReport{Tenants: []core.TenantShares{{Tenant: r.URL.Query().Get("tenant"), Ledger: rate.Snapshot{
			Limit: rate.Limit{Window: 5 * time.Second, Max: 100}, Version: 7, Spent: 20,
			Shares: []rate.Share{{Holder: "node+1", Outstanding: 4, Remaining: 1500 * time.Millisecond}},
		}}}, MissingPartitions: []int{3}})
	})
	mux.HandleFunc("GET /v1/keys", func(w http.ResponseWriter, r *http.Request) {
		operator.WriteJSON(w, http.StatusOK, operator.KeysReport{Counts: []core.KeyCount{
			{Tenant: "t", State: core.KeyDone, Keys: 2, ResponseBytes: 10, Remaining: time.Second},
			{Tenant: "t", State: core.KeyDone, Keys: 3, ResponseBytes: 5, Remaining: 2 * time.Second},
		}})
	})
	mux.HandleFunc("GET /v1/key", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("key") != "k&1" || r.URL.Query().Get("tenant") != "t/u" {
			operator.WriteJSON(w, http.StatusNotFound, operator.ErrorResponse{Code: "no_such_key"})
			return
		}
		operator.WriteJSON(w, http.StatusOK, core.KeyRecord{State: core.KeyClaimed, Claim: "c", Service: "s", Working: time.Second, Remaining: time.Minute})
	})
	server := httptest.NewServer(operator.RequireKey("key", mux))
	t.Cleanup(server.Close)
	return clientOptions{Core: strings.TrimPrefix(server.URL, "http://"), Key: "key", Timeout: 10 * time.Second}
}

func TestSharesAndKeysArePrinted(t *testing.T) {
	options := readOptions{clientOptions: testCore(t), Tenant: "t/u"}
	for _, c := range []struct {
		name  string
		print func(out *strings.Builder) error
		want  []string
	}{
		{"shares", func(out *strings.Builder) error { return (&sharesCommand{options}).print(out) },
			[]string{"t/u", "100 in 5s by table 7: spent 20, held 4, unconfirmed 0", "node+1", "4 for 1.5s", "no answer from partitions [3]"}},
		{"keys", func(out *strings.Builder) error { return (&keysCommand{readOptions: options}).print(out) },
			[]string{"done", "5 keys, 15 bytes of responses, the last for 2s"}},
		{"one key", func(out *strings.Builder) error {
			return (&keysCommand{readOptions: options, Operation: "k&1"}).print(out)
		}, []string{"claimed by claim c for service s; stored for 1m0s", "at work for 1s"}},
	} {
		var out strings.Builder
		if err := c.print(&out); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		for _, want := range c.want {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: no %q in %q", c.name, want, out.String())
			}
		}
	}
}

func TestUnknownOperationKeyIsAnError(t *testing.T) {
	command := keysCommand{readOptions: readOptions{clientOptions: testCore(t), Tenant: "t"}, Operation: "none"}
	if err := command.print(&strings.Builder{}); err == nil || !strings.Contains(err.Error(), "no_such_key") {
		t.Fatalf("got %v", err)
	}
}
