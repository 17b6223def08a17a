package desk

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"saffronfall/peer/core"
	"saffronfall/peer/operator"
	"saffronfall/rule/route"
)

// Calls are what replicas and operators can ask of a desk.
type Calls interface {
	Beat(ctx context.Context, r Replica) error
	Leave(ctx context.Context, id string) error
	Apply(ctx context.Context, base uint64, text []byte, digest string) (Handed, error)
	Amend(ctx context.Context, a Amendment) (Handed, error)
	Read(ctx context.Context) (core.CurrentTable, error)
	Retire(ctx context.Context, id string) (Emptied, error)
	Retired(ctx context.Context, id string) (Emptied, error)
	Counters(ctx context.Context) (map[string]int64, error)
}

// Digest tells a text from others.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// AmendmentDigest tells an amendment from others, and from whole tables.
func AmendmentDigest(text []byte) string {
	return Digest(append([]byte("amendment\n"), text...))
}

// readOrder reads an operator's order and what it builds on. It answers the call where
// that fails.
func readOrder(w http.ResponseWriter, r *http.Request, most int64, what string) (base uint64, text []byte, ok bool) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	text, more := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil || more != nil {
		operator.Write(w, 400, operator.Fault{Code: "malformed", Reason: "base must be the number of the table in force, and the body a whole " + what, Ran: "no"})
		return 0, nil, false
	}
	return base, text, true
}

// tellHanded answers an operator's order.
func tellHanded(w http.ResponseWriter, h Handed, err error) {
	switch {
	case err != nil || h.Unsure:
		operator.Write(w, 503, operator.Fault{Code: "unsure", Reason: "hand the same order over again to find out", Ran: "maybe"})
	case h.Faults != nil:
		operator.Write(w, 400, h)
	case h.Race:
		operator.Write(w, 409, h)
	default:
		operator.Write(w, 200, h)
	}
}

// amend takes an amendment in the product's own words.
func amend(calls Calls, w http.ResponseWriter, r *http.Request, most int64) {
	base, text, ok := readOrder(w, r, most, "amendment")
	if !ok {
		return
	}
	a, faults := route.ParseAmendment(text)
	if faults != nil {
		operator.Write(w, 400, Handed{Faults: faults})
		return
	}
	isPreview := r.URL.Query().Get("preview") == "true"
	h, err := calls.Amend(r.Context(), Amendment{Base: base, Number: a.Number, Digest: AmendmentDigest(text), Join: JoinTable(a), PreviewOnly: isPreview})
	tellHanded(w, h, err)
}

// Surface is the product's own handler of a desk's calls.
func Surface(operators, replicas string, most int64) func(calls Calls) http.Handler {
	return func(calls Calls) http.Handler {
		mux := http.NewServeMux()
		guarded := http.NewServeMux()
		mux.Handle("/v1/replicas/", operator.Guard(replicas, announcements(calls)))
		mux.Handle("/", operator.Guard(operators, guarded))
		guarded.HandleFunc("PUT /v1/table", func(w http.ResponseWriter, r *http.Request) {
			base, text, ok := readOrder(w, r, most, "table")
			if !ok {
				return
			}
			h, err := calls.Apply(r.Context(), base, text, Digest(text))
			tellHanded(w, h, err)
		})
		guarded.HandleFunc("PATCH /v1/table", func(w http.ResponseWriter, r *http.Request) { amend(calls, w, r, most) })
		guarded.HandleFunc("GET /v1/table", func(w http.ResponseWriter, r *http.Request) {
			t, err := calls.Read(r.Context())
			if err != nil || t.Number == 0 {
				operator.Write(w, 503, operator.Fault{Code: "unsure", Reason: "no table is known", Ran: "no"})
				return
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(t.Text)
		})
		retiring := func(ask func(ctx context.Context, id string) (Emptied, error)) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				e, err := ask(r.Context(), r.PathValue("id"))
				switch {
				case err != nil || e.Unsure:
					operator.Write(w, 503, operator.Fault{Code: "unsure", Reason: "the cores did not answer", Ran: "maybe"})
				case !e.Known:
					operator.Write(w, 404, operator.Fault{Code: "unknown_core", Reason: "no core has this name", Ran: "no"})
				default:
					operator.Write(w, 200, e)
				}
			}
		}
		guarded.HandleFunc("POST /v1/cores/{id}/retire", retiring(calls.Retire))
		guarded.HandleFunc("GET /v1/cores/{id}/retire", retiring(calls.Retired))
		guarded.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
			counts, err := calls.Counters(r.Context())
			if err != nil {
				operator.Write(w, 503, operator.Fault{Code: "unsure", Reason: err.Error(), Ran: "no"})
				return
			}
			operator.Write(w, 200, counts)
		})
		return mux
	}
}

func announcements(calls Calls) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/replicas/{id}", func(w http.ResponseWriter, r *http.Request) {
		var one Replica
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&one); err != nil || one.Service == "" || one.Address == "" {
			operator.Write(w, 400, operator.Fault{Code: "malformed", Reason: "a replica with its service and address", Ran: "no"})
			return
		}
		one.ID = r.PathValue("id")
		told(w, calls.Beat(r.Context(), one))
	})
	mux.HandleFunc("DELETE /v1/replicas/{id}", func(w http.ResponseWriter, r *http.Request) { told(w, calls.Leave(r.Context(), r.PathValue("id"))) })
	return mux
}

func told(w http.ResponseWriter, err error) {
	if err != nil {
		operator.Write(w, 503, operator.Fault{Code: "unsure", Reason: err.Error(), Ran: "maybe"})
		return
	}
	operator.Write(w, 200, map[string]bool{"heard": true})
}
