// Package partition implements the replicated state machine of one partition of the control state:
// a table of registers that a group of members keeps by Paxos, with one ballot (Term) for the whole
// table. The leader of a term runs commands and replicates the entries that they write, one Write at
// a time. It serves only while a majority renews its lease. Its first write is the complete table,
// merged from the promises of a majority.
//
// The main invariants:
//   - A member never promises a lower term than before. Its promise is on disk before it is sent.
//   - At most one member holds the lease. The leader counts it from the sending of the acknowledged
//     message, a follower from its receipt and longer by the bound on clock drift.
//   - Quorums of consecutive groups intersect, as a change passes through a joint group.
//
// A Machine does no I/O and starts no goroutines. Each call takes the time and returns an Output for
// the caller to carry out. Start reading at Machine, Propose and Receive.
package partition
