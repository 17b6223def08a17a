package operator

import (
	"context"
	"net/http"
	"time"

	"saffronfall/peer/core"
)

// SharesReport has the leased shares of tenants' rates. Partitions that didn't answer are listed.
type SharesReport struct {
	Tenants           []core.TenantShares `json:"tenants"`
	MissingPartitions []int               `json:"parts_without_answer"`
}

// KeysReport counts the stored operation keys in each partition. Partitions that didn't answer are
// listed.
type KeysReport struct {
	Counts            []core.KeyCount `json:"counts"`
	MissingPartitions []int           `json:"parts_without_answer"`
}

// newSharedStateMux returns a mux with the calls that read rates and operation keys.
func newSharedStateMux(p Process) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/shares", func(w http.ResponseWriter, r *http.Request) {
		tenant := r.URL.Query().Get("tenant")
		var report SharesReport
		missing, err := readPartitions(r.Context(), p, func(index int) any {
			return core.ReadShares{Partition: index, Tenant: tenant}
		}, func(answer any) bool {
			shares, ok := answer.(core.Shares)
			report.Tenants = append(report.Tenants, shares.Tenants...)
			return ok
		})
		report.MissingPartitions = missing
		writeReport(w, report, err)
	})
	mux.HandleFunc("GET /v1/keys", func(w http.ResponseWriter, r *http.Request) {
		tenant := r.URL.Query().Get("tenant")
		var report KeysReport
		missing, err := readPartitions(r.Context(), p, func(index int) any {
			return core.CountKeys{Partition: index, Tenant: tenant}
		}, func(answer any) bool {
			counts, ok := answer.(core.KeyCounts)
			report.Counts = append(report.Counts, counts.Counts...)
			return ok
		})
		report.MissingPartitions = missing
		writeReport(w, report, err)
	})
	mux.HandleFunc("GET /v1/key", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		answer, err := runRead(r.Context(), p, core.ReadKey{Tenant: query.Get("tenant"), Key: query.Get("key")})
		record, ok := answer.(core.KeyRecord)
		switch {
		case err != nil || !ok:
			WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: "the key's partition did not answer", Executed: "no"})
		case !record.Found:
			WriteJSON(w, http.StatusNotFound, ErrorResponse{Code: "no_such_key", Reason: "no operation with this tenant and key is stored", Executed: "no"})
		default:
			WriteJSON(w, http.StatusOK, record)
		}
	})
	return mux
}

func writeReport(w http.ResponseWriter, report any, err error) {
	if err != nil {
		WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
		return
	}
	WriteJSON(w, http.StatusOK, report)
}

// runRead runs a command and returns its answer, or nil if its partition gave none.
func runRead(ctx context.Context, p Process, command any) (any, error) {
	answer, err := p.Call(ctx, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.RunCommand(now, ticket, command, readTimeout)
	})
	if err != nil {
		return nil, err
	}
	outcome, _ := answer.(core.Outcome)
	return outcome.Answer, nil
}

// readPartitions runs a command at each partition and returns those whose answer was not accepted.
func readPartitions(ctx context.Context, p Process, command func(index int) any, accept func(answer any) bool) ([]int, error) {
	topology, err := p.Inspect(ctx, func(m *core.Machine, now time.Duration) any { return m.Topology() })
	if err != nil {
		return nil, err
	}
	var missing []int
	for index := range topology.(core.Topology).Leaders {
		answer, err := runRead(ctx, p, command(index))
		if err != nil {
			return nil, err
		}
		if !accept(answer) {
			missing = append(missing, index)
		}
	}
	return missing, nil
}
