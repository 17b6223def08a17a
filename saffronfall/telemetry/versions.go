package telemetry

import (
	"github.com/go-logr/logr"

	"saffronfall/peer/stream"
)

// RefusedVersions has the last refused protocol version of each member. The zero value is ready to use.
type RefusedVersions struct{ versions map[string]byte }

// Record logs the refusal of a member, once for each member and version. Counters without one are
// ignored.
func (r *RefusedVersions) Record(c stream.Counters, log logr.Logger) {
	if c.VersionMismatches == 0 || r.versions[c.PeerAddress] == c.PeerVersion {
		return
	}
	if r.versions == nil {
		r.versions = map[string]byte{}
	}
	r.versions[c.PeerAddress] = c.PeerVersion
	log.Info(
		"refused a member of an incompatible version; upgrade a fleet one version at a time",
		"member", c.PeerAddress,
		"its version", c.PeerVersion,
		"own version", stream.Version,
	)
}
