package capacity

import "time"

// Names of the roles, as in a process's id.
const (
	coreRole     = "core"
	registryRole = "desk"
	nodeRole     = "node"
)

// MachineClass has the resources of one process.
type MachineClass struct {
	// Processor is its share of a core, Link its bandwidth in bytes a second each way.
	Processor float64
	Link      float64
	// SyncDuration is that of the disk; zero means a fast one.
	SyncDuration time.Duration
}

// Processor time of a whole core for a message and for each of its bytes, to encode or to decode it.
const (
	messageProcessing = 15 * time.Microsecond
	byteProcessing    = 15 * time.Nanosecond
)

// resources are when a process's processor and link are free again. The zero value has no limits.
type resources struct {
	class           MachineClass
	processorFreeAt time.Duration
	sendFreeAt      time.Duration
	receiveFreeAt   time.Duration
}

// restart drops what was queued.
func (r *resources) restart() { *r = resources{class: r.class} }

// process returns when the processor has handled a message of so many bytes.
func (r *resources) process(now time.Duration, bytes int) time.Duration {
	if r.class.Processor <= 0 {
		return now
	}
	work := messageProcessing + time.Duration(bytes)*byteProcessing
	r.processorFreeAt = max(now, r.processorFreeAt) + time.Duration(float64(work)/r.class.Processor)
	return r.processorFreeAt
}

func (r *resources) transfer(now time.Duration, freeAt *time.Duration, bytes int) time.Duration {
	if r.class.Link <= 0 {
		return now
	}
	*freeAt = max(now, *freeAt) + time.Duration(float64(bytes)/r.class.Link*float64(time.Second))
	return *freeAt
}

// send returns when the last byte of a message has left.
func (r *resources) send(now time.Duration, bytes int) time.Duration {
	return r.transfer(r.process(now, bytes), &r.sendFreeAt, bytes)
}

// receive returns when the last byte of a message that arrives now has passed the link.
func (r *resources) receive(now time.Duration, bytes int) time.Duration {
	return r.transfer(now, &r.receiveFreeAt, bytes)
}
