// Package core is the control plane. A fleet of cores keeps the control state in
// partitions, each of which is replicated to a group of cores and led by one of them
// for a term (rule/partition has the consensus protocol).
//
// Nodes, registries and operators change the state by commands, which a Caller sends to the
// leader of the command's partition (TargetPartition). The leader runs a command by the
// rules of this package (rules.Apply) and answers once the resulting entries are
// durable on a majority. Nodes learn of changed entries by pulling updates.
//
// Invariants:
//
//   - Every command may be retried safely.
//   - An incarnation of a member that has ended is granted no lease again (the last
//     maxPastIncarnations are remembered).
//   - The shares of a rate, an allowance or the breaker's budget that are granted never
//     exceed its limit together; what an ended holder did not return counts as spent.
//   - A write to a program's record takes effect only under the record's current fence.
//   - Configurations and routing tables replace only the version that they build on.
//
// The package does no I/O: Machine takes messages and the time, and returns the changes
// to write and the messages to send. Start reading at messages.go for the commands, at rules.go for
// what they do, and at machine.go for the process that runs the partitions.
package core
