package registry

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
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

// API serves replicas and operators. After an error of Heartbeat or Leave, the replica should
// report to another registry.
type API interface {
	Heartbeat(ctx context.Context, r Replica) error
	Leave(ctx context.Context, id string) error
	Apply(ctx context.Context, base uint64, text []byte, digest string) (OrderResult, error)
	Amend(ctx context.Context, a Amendment) (OrderResult, error)
	Read(ctx context.Context) (core.CurrentTable, error)
	Retire(ctx context.Context, id string) (RetirementStatus, error)
	RetirementStatus(ctx context.Context, id string) (RetirementStatus, error)
	Counters(ctx context.Context) (map[string]int64, error)
	// ReportRefusal counts and logs an order that was refused for its content.
	ReportRefusal(ctx context.Context, refusal Refusal)
}

// Digest returns the SHA-256 of a text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// AmendmentDigest returns the digest of an amendment, which differs from that of a table.
func AmendmentDigest(text []byte) string {
	return Digest(append([]byte("amendment\n"), text...))
}

// readOrder reads an operator's order and its base. If that fails, it writes the response.
func readOrder(api API, w http.ResponseWriter, r *http.Request, maxBody int64, kind string) (base uint64, body []byte, ok bool) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	body, bodyErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil || bodyErr != nil {
		reason := "base must be the number of the table in force, and the body a whole " + kind
		fault := configuration.Fault{Path: "$", Value: "no base, or a body that did not come whole", Allowed: reason}
		api.ReportRefusal(r.Context(), Refusal{Faults: configuration.Faults{fault.WithKind(configuration.UnreadableText)}})
		operator.WriteJSON(w, http.StatusBadRequest, operator.ErrorResponse{
			Code:     "malformed",
			Reason:   reason,
			Executed: "no",
		})
		return 0, nil, false
	}
	return base, body, true
}

func writeOrderResult(w http.ResponseWriter, result OrderResult, err error) {
	switch {
	case err != nil || result.Uncertain:
		operator.WriteJSON(w, http.StatusServiceUnavailable, operator.ErrorResponse{
			Code:     "unsure",
			Reason:   "hand the same order over again to find out",
			Executed: "maybe",
		})
	case result.Faults != nil:
		operator.WriteJSON(w, http.StatusBadRequest, result)
	case result.RaceLost:
		operator.WriteJSON(w, http.StatusConflict, result)
	default:
		operator.WriteJSON(w, http.StatusOK, result)
	}
}

func handleAmendment(api API, w http.ResponseWriter, r *http.Request, maxBody int64) {
	base, text, ok := readOrder(api, w, r, maxBody, "amendment")
	if !ok {
		return
	}
	amendment, faults := route.ParseAmendment(text)
	if faults != nil {
		api.ReportRefusal(r.Context(), Refusal{Number: amendment.Number, Faults: faults})
		operator.WriteJSON(w, http.StatusBadRequest, OrderResult{Faults: faults})
		return
	}
	previewOnly := r.URL.Query().Get("preview") == "true"
	result, err := api.Amend(r.Context(), Amendment{
		Base:        base,
		Number:      amendment.Number,
		Digest:      AmendmentDigest(text),
		Apply:       ApplyAmendment(amendment),
		PreviewOnly: previewOnly,
	})
	if result.Faults != nil && !previewOnly {
		api.ReportRefusal(r.Context(), Refusal{Number: amendment.Number, Faults: result.Faults})
	}
	writeOrderResult(w, result, err)
}

func handleTable(api API, w http.ResponseWriter, r *http.Request, maxBody int64) {
	base, text, ok := readOrder(api, w, r, maxBody, "table")
	if !ok {
		return
	}
	result, err := api.Apply(r.Context(), base, text, Digest(text))
	if result.Faults != nil {
		api.ReportRefusal(r.Context(), Refusal{Number: NumberOf(text, "number"), Faults: result.Faults})
	}
	writeOrderResult(w, result, err)
}

// Handler returns a function that makes the HTTP handler of a registry's API. Calls need the
// operator or the replica key; maxBody bounds an order in bytes.
func Handler(operatorKey, replicaKey string, maxBody int64) func(api API) http.Handler {
	return func(api API) http.Handler {
		mux := http.NewServeMux()
		operatorMux := http.NewServeMux()
		mux.Handle("/v1/replicas/", operator.RequireKey(replicaKey, replicaHandler(api)))
		mux.Handle("/", operator.RequireKey(operatorKey, operatorMux))
		operatorMux.HandleFunc("PUT /v1/table", func(w http.ResponseWriter, r *http.Request) { handleTable(api, w, r, maxBody) })
		operatorMux.HandleFunc("PATCH /v1/table", func(w http.ResponseWriter, r *http.Request) { handleAmendment(api, w, r, maxBody) })
		operatorMux.HandleFunc("GET /v1/table", func(w http.ResponseWriter, r *http.Request) {
			table, err := api.Read(r.Context())
			if err != nil || table.Number == 0 {
				operator.WriteJSON(w, http.StatusServiceUnavailable,
					operator.ErrorResponse{Code: "unsure", Reason: "no table is known", Executed: "no"})
				return
			}
			w.Header().Set("Content-Type", "application/json")
			w.Write(table.Text)
		})
		retirementHandler := func(call func(ctx context.Context, id string) (RetirementStatus, error)) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				status, err := call(r.Context(), r.PathValue("id"))
				switch {
				case err != nil || status.Uncertain:
					operator.WriteJSON(w, http.StatusServiceUnavailable,
						operator.ErrorResponse{Code: "unsure", Reason: "the cores did not answer", Executed: "maybe"})
				case !status.Known:
					operator.WriteJSON(w, http.StatusNotFound,
						operator.ErrorResponse{Code: "unknown_core", Reason: "no core has this name", Executed: "no"})
				default:
					operator.WriteJSON(w, http.StatusOK, status)
				}
			}
		}
		operatorMux.HandleFunc("POST /v1/cores/{id}/retire", retirementHandler(api.Retire))
		operatorMux.HandleFunc("GET /v1/cores/{id}/retire", retirementHandler(api.RetirementStatus))
		operatorMux.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
			counts, err := api.Counters(r.Context())
			if err != nil {
				operator.WriteJSON(w, http.StatusServiceUnavailable, operator.ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
				return
			}
			operator.WriteJSON(w, http.StatusOK, counts)
		})
		return mux
	}
}

// maxReplicaBytes bounds the body of a heartbeat.
const maxReplicaBytes = 64 << 10

func replicaHandler(api API) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/replicas/{id}", func(w http.ResponseWriter, r *http.Request) {
		var replica Replica
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReplicaBytes)).Decode(&replica)
		replica.ID = r.PathValue("id")
		if err != nil || !replica.Valid() {
			operator.WriteJSON(w, http.StatusBadRequest,
				operator.ErrorResponse{Code: "malformed", Reason: "a replica with its service and address, and an id without control characters", Executed: "no"})
			return
		}
		writeAck(w, api.Heartbeat(r.Context(), replica))
	})
	mux.HandleFunc("DELETE /v1/replicas/{id}",
		func(w http.ResponseWriter, r *http.Request) { writeAck(w, api.Leave(r.Context(), r.PathValue("id"))) })
	return mux
}

// writeAck answers a replica's report; "heard" means accepted.
func writeAck(w http.ResponseWriter, err error) {
	if err != nil {
		operator.WriteJSON(w, http.StatusServiceUnavailable, operator.ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "maybe"})
		return
	}
	operator.WriteJSON(w, http.StatusOK, map[string]bool{"heard": true})
}
