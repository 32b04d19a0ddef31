// Package dottermember maintains the membership record of the failure domain in
// the store, and the membership of this process in it.
//
// Each failure domain has one Record, which is changed only by compare-and-swap.
// A join, a leave and the reclaim of a dead member's share each start a new
// epoch. The previous member list stays in the record as an open epoch until all
// its members have acknowledged a later epoch or are proved gone. Package
// dotterslot derives from the record what each member may use.
//
// Each change is a function from the record that was read to the record that is
// wanted. It is repeated until the record that was read already contains the
// change. A lost answer is thus resolved by reading the record again, and a
// conflict by retrying.
//
// A member's share is reclaimed only on proof that its process is gone. There are
// three proofs: the process left by itself after everything it used was released;
// another process runs at its address, which the mesh of the old process kept
// bound for as long as it lived; or its store lease has expired and all successful
// reads of the host list have lacked its host for longer than the list's lag. A
// expired lease alone is not a proof, since a paused process can resume. Neither
// is a failed read of the host list.
//
// Shares need no renewal: while the store is unavailable, the last record that
// was read stays in use. A process that starts while the store is unavailable is
// not in the record, has no share, and forwards requests to other hosts.
package dottermember
