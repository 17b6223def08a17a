package core

import (
	"net/url"
	"strings"
	"time"
)

// Commands on operation keys, with their result. A requester gives all its attempts at one
// operation the same key, and of a tenant and key one attempt at most runs in the key's window.
// Nodes send them; every command may be retried and may arrive late.
type (
	// ClaimKey claims a key before its operation is sent to a replica. An earlier claim wins.
	ClaimKey struct {
		Tenant string `msgpack:"t"`
		Key    string `msgpack:"k"`
		// Claim is the node's unique ID of this claim.
		Claim   string `msgpack:"c"`
		Service string `msgpack:"s"`
		// Working is how long after this command the holder of the claim may send the operation
		// and wait for its response.
		Working time.Duration `msgpack:"w"`
		// Window is how long after the last possible sending the key is stored.
		Window time.Duration `msgpack:"u"`
		// Deduplicating lists the services that run each key only once themselves and that this
		// attempt may be sent to.
		Deduplicating []string `msgpack:"d"`
	}
	// EndKey stores the outcome of a claim, or releases one whose operation certainly did not run
	// and will not.
	EndKey struct {
		Tenant   string      `msgpack:"t"`
		Key      string      `msgpack:"k"`
		Claim    string      `msgpack:"c"`
		State    KeyState    `msgpack:"s"`
		Response KeyResponse `msgpack:"r"`
	}
	// KeyResult answers ClaimKey and EndKey with what is stored of the key.
	KeyResult struct {
		State KeyState `msgpack:"s"`
		// Claim and Service are those of the winning claim.
		Claim    string      `msgpack:"c"`
		Service  string      `msgpack:"v"`
		Response KeyResponse `msgpack:"r"`
		// Working is how much longer the holder may be at work.
		Working time.Duration `msgpack:"w"`
		// Shared: attempts other than the claim's may send the operation to Service.
		Shared bool `msgpack:"h"`
	}
	// KeyResponse is the response of the attempt that ran. Header lists names and values.
	KeyResponse struct {
		Status int         `msgpack:"s"`
		Header [][2]string `msgpack:"h"`
		Body   []byte      `msgpack:"b"`
	}
)

// KeyState is the state of an operation key.
type KeyState string

const (
	// KeyClaimed: the operation may be sent by the holder of the claim, and may have run.
	KeyClaimed KeyState = "claimed"
	// KeyDone: the operation ran, and its response is stored.
	KeyDone KeyState = "done"
	// KeyNotStored: the operation ran; its response is not stored because it is too large.
	KeyNotStored KeyState = "unstored"
	// KeyUncertain: the operation may have run, and its holder is no longer at work.
	KeyUncertain KeyState = "uncertain"
	// KeyReleased: the operation did not run; the key is free.
	KeyReleased KeyState = "released"
	// KeyRejected: the memory for keys of the partition is used up, so nothing was claimed.
	KeyRejected KeyState = "rejected"
)

// MaxKeyBytes is the greatest length of an operation key.
const MaxKeyBytes = 512

// Size returns the bytes that a stored response takes, without overhead.
func (r KeyResponse) Size() int {
	size := len(r.Body)
	for _, field := range r.Header {
		size += len(field[0]) + len(field[1])
	}
	return size
}

// storedKey is the stored entry of a key. Times are on the partition's clock.
type storedKey struct {
	Claim        string        `msgpack:"c"`
	Service      string        `msgpack:"v"`
	State        KeyState      `msgpack:"s"`
	Response     KeyResponse   `msgpack:"r"`
	WorkingUntil time.Duration `msgpack:"w"`
	Until        time.Duration `msgpack:"u"`
	// Shared is set before another attempt may send the operation. The claim's holder then cannot
	// know that the operation did not run.
	Shared bool `msgpack:"h"`
	// Deduplicated: the service kept a record of keys when the claim was made, as far as its holder
	// knew.
	Deduplicated bool `msgpack:"d"`
}

const operationKeyPrefix = "operation/"

// operationKey escapes the tenant's name, so that no two pairs of tenant and key share an entry.
func operationKey(tenant, key string) string {
	return operationKeyPrefix + url.PathEscape(tenant) + "/" + key
}

// ParseOperationKey returns the tenant and key of a stored entry's name, or false if the entry is
// another.
func ParseOperationKey(name string) (tenant, key string, ok bool) {
	rest, ok := strings.CutPrefix(name, operationKeyPrefix)
	if !ok {
		return "", "", false
	}
	escaped, key, ok := strings.Cut(rest, "/")
	if !ok {
		return "", "", false
	}
	tenant, err := url.PathUnescape(escaped)
	return tenant, key, err == nil
}

// keyTargetPartition returns the partition of a command on an operation key.
func keyTargetPartition(partitions int, command any) (int, bool) {
	switch c := command.(type) {
	case ClaimKey:
		return PartitionOf(partitions, "operation", c.Tenant, c.Key), true
	case EndKey:
		return PartitionOf(partitions, "operation", c.Tenant, c.Key), true
	}
	return 0, false
}
