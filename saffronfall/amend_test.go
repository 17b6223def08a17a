package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

// amendBy runs apply --amend against a desk that answers a PATCH as told.
func amendBy(t *testing.T, preview bool, status int, handed desk.OrderResult) (printed, query, body string, err error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			io.WriteString(w, `{"number":7}`)
			return
		}
		text, _ := io.ReadAll(r.Body)
		query, body = r.URL.RawQuery, string(text)
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(handed)
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "amendment.json")
	if err := os.WriteFile(file, []byte(`{"number":9,"remove":{"routes":["old"]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	c := applyCommand{calling: calling{Core: strings.TrimPrefix(server.URL, "http://"), Key: "key", Within: 5 * time.Second}, amendOptions: amendOptions{Amend: true, Preview: preview}, File: file, BasedOn: -1}
	err = c.runAmend(&out)
	return out.String(), query, body, err
}

// TestApplyAmendment: it goes to the desk on top of the table in force, as it was
// written, and each outcome is told.
func TestApplyAmendment(t *testing.T) {
	printed, query, body, err := amendBy(t, false, http.StatusOK, desk.OrderResult{Accepted: true, Number: 9})
	if err != nil || printed != "table 9 taken\n" || query != "base=7" || !strings.Contains(body, `"old"`) {
		t.Errorf("taken: %q, %q, %q, %v", printed, query, body, err)
	}
	printed, query, _, err = amendBy(t, true, http.StatusOK, desk.OrderResult{Number: 7, Preview: &route.Preview{Routes: route.ChangedNames{Removed: []string{"old"}}}})
	if err != nil || printed != "on table 7:\n  routes removed: old\n" || query != "base=7&preview=true" {
		t.Errorf("preview: %q, %q, %v", printed, query, err)
	}
	if _, _, _, err = amendBy(t, false, http.StatusConflict, desk.OrderResult{RaceLost: true, Number: 8}); err == nil || !strings.Contains(err.Error(), "table 8 is in force") {
		t.Errorf("race: %v", err)
	}
	if _, _, _, err = amendBy(t, false, http.StatusBadRequest, desk.OrderResult{Faults: configuration.Faults{{Path: "routes[0].targets.service", Value: "x", Allowed: "a service of this table"}}}); err == nil || !strings.Contains(err.Error(), "routes[0].targets.service: x") {
		t.Errorf("faults: %v", err)
	}
	if _, _, _, err = amendBy(t, false, http.StatusServiceUnavailable, desk.OrderResult{}); err == nil {
		t.Error("unsure is told as taken")
	}
}
