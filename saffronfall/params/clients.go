package params

import (
	"saffronfall/peer/httpserver"
	"saffronfall/rule/configuration"
)

// Clients bounds what clients that keep to no limits can hold.
type Clients struct {
	StreamHandshakes    int64 `json:"stream_handshakes"`
	OperatorConnections int64 `json:"operator_connections"`
	MonitorConnections  int64 `json:"monitor_connections"`
	ClientMemoryBytes   int64 `json:"client_memory_bytes"`
}

// connectionBytes is the memory that one connection may take, with what has arrived unread.
const connectionBytes = 128 << 10

// Each divides ClientMemoryBytes into that for the requests at one address.
const (
	mainMemoryDivisor    = 16
	monitorMemoryDivisor = 128
)

// RequesterLimits bounds the clients at the address for requesters.
func (c Clients) RequesterLimits(connections int64) httpserver.Limits {
	return c.limits(connections, mainMemoryDivisor)
}

// OperatorLimits bounds the clients at the address for operators, and at a registry for replicas.
func (c Clients) OperatorLimits() httpserver.Limits {
	limits := c.limits(c.OperatorConnections, mainMemoryDivisor)
	limits.CountBodies = true
	return limits
}

// MonitorLimits bounds the clients at the address of readiness, and at that of metrics.
func (c Clients) MonitorLimits() httpserver.Limits {
	return c.limits(c.MonitorConnections, monitorMemoryDivisor)
}

func (c Clients) limits(connections, memoryDivisor int64) httpserver.Limits {
	return httpserver.Limits{
		Connections:  int(max(min(connections, c.ClientMemoryBytes/connectionBytes), 1)),
		RequestBytes: c.ClientMemoryBytes / memoryDivisor,
	}
}

func init() {
	Settings = append(Settings,
		configuration.Setting{Path: "stream_handshakes", Type: "int", Default: 512, Min: 1, Max: 1e6, Help: "connections at the address for other processes that are not authenticated yet; beyond it the oldest is closed"},
		configuration.Setting{Path: "operator_connections", Type: "int", Default: 4096, Min: 1, Max: 1e6, Help: "maximum number of open connections of operators and, at a desk, of replicas; beyond it the one that has gone longest without a whole request is closed"},
		configuration.Setting{Path: "monitor_connections", Type: "int", Default: 256, Min: 1, Max: 1e6, Help: "the same for readiness checks, and for metrics"},
		configuration.Setting{Path: "client_memory_bytes", Type: "int", Default: 2 << 30, Min: 1 << 20, Max: 1 << 40, Help: "memory of the machine that clients' connections may take; no address has more open connections than one for each 128 KiB of it, and large requests at one address take a sixteenth of it at most"},
	)
}
