package registry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"saffronfall/rule/route"
)

// refusingAPI answers tables as a machine does and records refusals.
type refusingAPI struct {
	API
	refusals []Refusal
}

func (a *refusingAPI) Apply(_ context.Context, _ uint64, text []byte, _ string) (OrderResult, error) {
	_, faults := route.Parse(text)
	return OrderResult{Faults: faults}, nil
}

func (a *refusingAPI) Amend(context.Context, Amendment) (OrderResult, error) {
	return OrderResult{RaceLost: true}, nil
}

func (a *refusingAPI) ReportRefusal(_ context.Context, refusal Refusal) {
	a.refusals = append(a.refusals, refusal)
}

// TestRefusedOrdersAreReported guards against refusals that only the operator sees.
func TestRefusedOrdersAreReported(t *testing.T) {
	valid := string(table(4))
	for _, c := range []struct {
		name, method, query, body string
		number                    uint64
		cause                     RefusalCause
	}{
		{"valid", "PUT", "?base=0", valid, 0, ""},
		{"unknown mode", "PUT", "?base=0", `{"number":4,"routes":[{"host":"h","prefix":"/","mode":"hourly","timeout_ms":9,"targets":[{"service":"s"}]}],"services":[{"name":"s"}]}`, 4, CauseUnknownWord},
		{"unknown setting", "PUT", "?base=0", `{"number":4,"rooms":[]}`, 4, CauseUnknownWord},
		{"invalid value", "PUT", "?base=0", `{"number":4,"limits":{"header_bytes":1}}`, 4, CauseInvalid},
		{"unreadable", "PUT", "?base=0", valid[:len(valid)-1], 0, CauseUnreadable},
		{"no base", "PUT", "", valid, 0, CauseUnreadable},
		{"race lost", "PATCH", "?base=3", `{"number":4}`, 0, ""},
		{"invalid amendment", "PATCH", "?base=3", `{"number":4,"set":{"routes":7}}`, 0, CauseInvalid},
	} {
		api := &refusingAPI{}
		request := httptest.NewRequest(c.method, "/v1/table"+c.query, strings.NewReader(c.body))
		request.Header.Set("Authorization", "Bearer key")
		answer := httptest.NewRecorder()
		Handler("key", "other", 1<<20)(api).ServeHTTP(answer, request)
		switch {
		case c.cause == "" && len(api.refusals) == 0:
		case len(api.refusals) != 1 || api.refusals[0].Cause() != c.cause || api.refusals[0].Number != c.number:
			t.Errorf("%s: answered %d %s, reported %+v", c.name, answer.Code, answer.Body, api.refusals)
		}
	}
}
