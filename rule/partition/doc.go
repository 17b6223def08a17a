// Package partition implements the replicated state machine of one partition of the control state:
// a table of registers that a group of members keeps by Paxos, with one ballot (Term) for the whole
// table. The leader of a term runs commands and replicates the entries that they write.
//
//   - A member never promises a lower term than before. Its promise is on disk before it is sent.
//   - At most one member holds the lease. The leader counts it from the sending of the acknowledged
//     message, a follower from its receipt and longer by the bound on clock drift.
//   - Quorums of consecutive groups intersect, as a change passes through a joint group.
//
// A Machine does no I/O and starts no goroutines. Start reading at Machine, Propose and Receive.
package partition
