// Package dotterrevision distributes the operators' configuration to the entry
// hosts.
//
// The configuration is one document under one key of the store. A Tracker adopts
// a document only if its revision is higher than that of the document it has,
// whichever of three sources delivers it first: the watch on the store, the
// periodic read of the store, or a peer. Heartbeats carry the revision in force.
// From them a process whose watch delivers nothing, or that starts while the store
// is down, learns that it is behind, and fetches the document from that peer. A
// store that answers stale values can delay a revision but cannot revert one.
//
// Task starts require proof that the document is current. A proof states that the
// store held no newer document at a certain time: the time at which the read was
// sent, by the clock of the process that sent it. Between processes a proof is
// passed on as an age. The receiver subtracts the age from the time at which it
// sent its request, so that delays in transit can only make a proof look older
// than it is. In each failure domain the entry host with the smallest name reads
// the store (a small stamp, since the document may be large), and the others ask
// that host. A host that gets no recent proof this way reads the store itself.
//
// Two alternatives were rejected. Proofs in heartbeats cannot be dated, since the
// receiver cannot tell a delayed heartbeat from a timely one. Dating them by
// counters that the receiver echoes adds one heartbeat period to the age, which is
// more than MaxEvidenceAge leaves.
//
// During an outage of the store no proof is available. If an entry host of every
// other failure domain reports that it cannot reach the store either, operators
// are assumed to be unable to reach it too, and task starts continue.
//
// An Editor changes the document by compare-and-swap. It rebases an edit that lost
// a race, unless the other edit touched the same items. If the answer to a write
// is lost, it looks for the change id among those that the document records.
package dotterrevision
