package core

import (
	"time"

	"saffronfall/rule/rate"
)

// Commands by which operators read the shared state of a partition, with their results. They
// change nothing.
type (
	// ReadShares lists the leased shares of tenants' rates, of all tenants if Tenant is empty.
	// Ledgers that no node has drawn from since the leader was elected are not listed.
	ReadShares struct {
		Partition int    `msgpack:"p"`
		Tenant    string `msgpack:"t"`
	}
	// Shares answers ReadShares.
	Shares struct {
		Tenants []TenantShares `msgpack:"t"`
	}
	// TenantShares is one tenant's ledger.
	TenantShares struct {
		Tenant string        `json:"tenant" msgpack:"t"`
		Ledger rate.Snapshot `json:"rate" msgpack:"l"`
	}
	// CountKeys counts the stored operation keys by tenant and state, of all tenants if Tenant is
	// empty.
	CountKeys struct {
		Partition int    `msgpack:"p"`
		Tenant    string `msgpack:"t"`
	}
	// KeyCounts answers CountKeys.
	KeyCounts struct {
		Counts []KeyCount `msgpack:"c"`
	}
	// KeyCount is a number of keys in one state, which are stored for at most the Remaining time.
	KeyCount struct {
		Tenant        string        `json:"tenant" msgpack:"t"`
		State         KeyState      `json:"state" msgpack:"s"`
		Keys          int           `json:"keys" msgpack:"k"`
		ResponseBytes int           `json:"response_bytes" msgpack:"b"`
		Remaining     time.Duration `json:"left" msgpack:"r"`
	}
	// ReadKey reads the record of one operation key.
	ReadKey struct {
		Tenant string `msgpack:"t"`
		Key    string `msgpack:"k"`
	}
	// KeyRecord answers ReadKey, without the stored response's body.
	KeyRecord struct {
		Found         bool     `json:"-" msgpack:"f"`
		State         KeyState `json:"state" msgpack:"s"`
		Claim         string   `json:"claim" msgpack:"c"`
		Service       string   `json:"service" msgpack:"v"`
		Status        int      `json:"status" msgpack:"n"`
		ResponseBytes int      `json:"response_bytes" msgpack:"b"`
		// Working is how much longer the holder of the claim may be at work, Remaining how much
		// longer the key is stored.
		Working   time.Duration `json:"working" msgpack:"w"`
		Remaining time.Duration `json:"left" msgpack:"r"`
	}
)

// inspectTargetPartition returns the partition of a command that reads shared state.
func inspectTargetPartition(partitions int, command any) (int, bool) {
	switch c := command.(type) {
	case ReadShares:
		return c.Partition, true
	case CountKeys:
		return c.Partition, true
	case ReadKey:
		return PartitionOf(partitions, "operation", c.Tenant, c.Key), true
	}
	return 0, false
}
