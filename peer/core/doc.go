// Package core is the control plane. A fleet of cores keeps the control state in partitions, each
// replicated to a group of cores by consensus and led by one of them for a term.
//
// Every command may be retried safely. The leader answers once the resulting entries are durable on
// a majority. An ended incarnation of a member gets no lease while it is among the last
// maxPastIncarnations. Granted shares of a limit never exceed it together: what an ended
// holder did not return counts as spent. Writes to a program need its current fence; configurations
// and routing tables replace only the version that they build on.
//
// Machine does no I/O. Start at messages.go for the commands and at rules.go for what they do.
package core
