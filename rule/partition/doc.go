// Package partition implements the replicated state machine of one partition of the
// control state: a table of registers that a small group of members keeps by Paxos, with
// one ballot (Term) for the whole table.
//
// A member that wants to lead asks its group for a pre-vote, then for binding promises
// (Prepare, Promise), merges the promised states, writes the result under its own term and
// serves once a majority has it on disk. From then on it runs commands, replicates the
// entries that they write one Write at a time, and answers a command only when every write
// that its result depends on is committed. It serves only while a majority renews its lease.
//
// The main invariants:
//   - A member never promises a term lower than one that it has promised, and its promise
//     is on disk before it is sent.
//   - At any instant at most one member holds the lease. A leader counts its lease from when
//     it sent the acknowledged message; a follower counts the same lease from when it
//     received that message, and longer by the bound on clock drift.
//   - Quorums of consecutive groups intersect: a membership change passes through a joint
//     group that needs a majority of the old and of the new members.
//
// A Machine does no I/O and starts no goroutines. Each call takes the time and returns an
// Output with records to sync to disk, messages to send and results of commands. Start reading
// at Machine and its methods Propose and Receive; election.go, lease.go, replication.go and
// membership.go have one concern each.
package partition
