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

const maxAnnouncementBytes = 64 << 10

// Announcement is a replica's registration at a node. Token is from the last reply of the same
// node, or empty.
type Announcement struct {
	node.Replica
	Token string `json:"stamp"`
}

// AnnouncementReply answers an announcement. If it was accepted, the replica renews it at the
// same node after NextMS milliseconds. Otherwise it repeats it at once with Token.
type AnnouncementReply struct {
	Accepted bool   `json:"counted"`
	Token    string `json:"stamp"`
	NextMS   int64  `json:"again_ms"`
}

// AnnouncementHandler authenticates announcements by the bearer key, validates them and calls
// announce. An empty key rejects all requests.
func AnnouncementHandler(
	key string,
	announce func(ctx context.Context, r node.Replica, token string) (node.AnnounceReply, error),
) http.Handler {
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
		var announcement Announcement
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&announcement); err != nil {
			refuse(400, "malformed", err.Error())
			return
		}
		host, _, err := net.SplitHostPort(announcement.Address)
		switch {
		case !configuration.ValidName(announcement.Service) || !configuration.ValidName(announcement.ID):
			refuse(400, "malformed", "service and id must be names")
		case err != nil || net.ParseIP(host) == nil:
			refuse(400, "malformed", "address must be an IP number and a port")
		default:
			reply, err := announce(r.Context(), announcement.Replica, announcement.Token)
			if err != nil {
				refuse(503, "come_back", "it was not heard; tell another node")
				return
			}
			json.NewEncoder(w).Encode(AnnouncementReply{Accepted: reply.Accepted, Token: reply.Token, NextMS: reply.NextIn.Milliseconds()})
		}
	})
}
