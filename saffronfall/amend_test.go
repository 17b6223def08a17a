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

	"saffronfall/peer/registry"
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

// runAmendment runs apply --amend against a registry that answers a PATCH with status and result.
func runAmendment(t *testing.T, preview bool, status int, result registry.OrderResult) (printed, query, body string, err error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			io.WriteString(w, `{"number":7}`)
			return
		}
		text, _ := io.ReadAll(r.Body)
		query, body = r.URL.RawQuery, string(text)
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(result)
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "amendment.json")
	if err := os.WriteFile(file, []byte(`{"number":9,"remove":{"routes":["old"]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	c := applyCommand{
		clientOptions: clientOptions{Core: strings.TrimPrefix(server.URL, "http://"), Key: "key", Timeout: 5 * time.Second},
		amendOptions:  amendOptions{Amend: true, Preview: preview},
		File:          file,
		BasedOn:       -1,
	}
	err = c.runAmend(&out)
	return out.String(), query, body, err
}

// TestApplyAmendment checks that an amendment is sent unchanged, based on the current table.
func TestApplyAmendment(t *testing.T) {
	printed, query, body, err := runAmendment(t, false, http.StatusOK, registry.OrderResult{Accepted: true, Number: 9})
	if err != nil || printed != "table 9 taken\n" || query != "base=7" || !strings.Contains(body, `"old"`) {
		t.Errorf("applied: %q, %q, %q, %v", printed, query, body, err)
	}
	printed, query, _, err = runAmendment(t, true, http.StatusOK, registry.OrderResult{Number: 7, Preview: &route.Preview{Routes: route.ChangedNames{Removed: []string{"old"}}}})
	if err != nil || printed != "on table 7:\n  routes removed: old\n" || query != "base=7&preview=true" {
		t.Errorf("preview: %q, %q, %v", printed, query, err)
	}
	if _, _, _, err = runAmendment(t, false, http.StatusConflict, registry.OrderResult{RaceLost: true, Number: 8}); err == nil || !strings.Contains(err.Error(), "table 8 is in force") {
		t.Errorf("race: %v", err)
	}
	if _, _, _, err = runAmendment(t, false, http.StatusBadRequest, registry.OrderResult{Faults: configuration.Faults{{Path: "routes[0].targets.service", Value: "x", Allowed: "a service of this table"}}}); err == nil || !strings.Contains(err.Error(), "routes[0].targets.service: x") {
		t.Errorf("faults: %v", err)
	}
	if _, _, _, err = runAmendment(t, false, http.StatusServiceUnavailable, registry.OrderResult{}); err == nil {
		t.Error("an unknown outcome is reported as applied")
	}
}
