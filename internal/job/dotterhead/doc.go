// Package dotterhead elects the owner of each shard and serializes its writes.
//
// One key of the store for each shard, its head, holds the owner, its epoch and the number of its
// newest commit. Every commit of the owner is one transaction that expects the head
// at the version left by the previous commit and writes it again. So a commit takes
// effect at most once, however late a retried call arrives, and an owner that was
// replaced learns it from its next commit. The head is the fencing token; this does
// not depend on clocks.
//
// The head also serves as a heartbeat, since an idle owner commits every
// HeartbeatInterval. A host that sees the head unchanged for its takeover timeout
// takes the shard over with a transaction of the same kind; of several hosts that try,
// one succeeds. A false suspicion costs a takeover but breaks no guarantee. Leases of
// the store are not used, since they may be revoked or expire while their holder works.
//
// Hosts in the failure domains of a shard take it over first. A domain that is cut off
// from the rest keeps its owner, which reaches the workers when nobody else does.
package dotterhead
