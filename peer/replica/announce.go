package replica

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"

	"saffronfall/peer/node"
	"saffronfall/rule/configuration"
)

// Told is an announcement: what a replica says of itself, and the stamp that the
// same node gave it last.
type Told struct {
	node.Replica
	Stamp string `json:"stamp"`
}

// Heard is how an announcement is answered. One that is not counted is said
// again at once with the stamp; a counted one after again_ms, at the same node.
type Heard struct {
	Counted bool   `json:"counted"`
	Stamp   string `json:"stamp"`
	AgainMS int64  `json:"again_ms"`
}

// Announcements takes what replicas say of themselves.
func Announcements(key string, announce func(ctx context.Context, r node.Replica, stamp string) (node.Heard, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		refuse := func(status int, code, reason string) {
			w.WriteHeader(status)
			json.NewEncoder(w).Encode(map[string]string{"code": code, "reason": reason, "ran": "no"})
		}
		if key == "" || subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+key)) != 1 {
			refuse(401, "unknown_key", "the replica key is missing or wrong")
			return
		}
		var told Told
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&told); err != nil {
			refuse(400, "malformed", err.Error())
			return
		}
		host, _, err := net.SplitHostPort(told.Address)
		switch {
		case !configuration.ValidName(told.Service) || !configuration.ValidName(told.ID):
			refuse(400, "malformed", "service and id must be names")
		case err != nil || net.ParseIP(host) == nil:
			refuse(400, "malformed", "address must be an IP number and a port")
		default:
			heard, err := announce(r.Context(), told.Replica, told.Stamp)
			if err != nil {
				refuse(503, "come_back", "it was not heard; tell another node")
				return
			}
			json.NewEncoder(w).Encode(Heard{Counted: heard.Counted, Stamp: heard.Stamp, AgainMS: heard.Again.Milliseconds()})
		}
	})
}
