package replica

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
)

// Announcements takes what replicas say of themselves.
func Announcements(key string, announce func(ctx context.Context, r core.Replica) bool) http.Handler {
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
		var told core.Replica
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&told); err != nil {
			refuse(400, "malformed", err.Error())
			return
		}
		host, _, err := net.SplitHostPort(told.Address)
		switch {
		case !configuration.Named(told.Service) || !configuration.Named(told.ID):
			refuse(400, "malformed", "service and id must be names")
		case err != nil || net.ParseIP(host) == nil:
			refuse(400, "malformed", "address must be an IP number and a port")
		case told.Ended:
			refuse(400, "malformed", "ended is not a replica's to say")
		case !announce(r.Context(), told):
			refuse(503, "come_back", "it could not be made known; tell another node")
		default:
			json.NewEncoder(w).Encode(map[string]bool{"heard": true})
		}
	})
}
