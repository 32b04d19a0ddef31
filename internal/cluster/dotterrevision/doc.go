// Package dotterrevision spreads the operators' configuration.
//
// The configuration is one document under one key of the store. A Holder takes
// only a higher revision than the one that it has, whichever of three ways
// brings it first: the watch on the store, the regular read of the store, or a
// peer. Heartbeats carry the revision in force, so that a process whose watch is
// silent, or that starts while the store is down, learns that it lacks one and
// fetches it from that peer. A store that answers old values can delay a
// revision but never take one back.
//
// Task starts need proof that the document is current. A proof says: at that
// instant the store held nothing newer. Its instant is when the read was sent,
// by the clock of whoever sent it; it travels between processes as an age, and
// a process that is told an age counts it from when it sent the question, so
// that no delay on the way makes a proof look younger than it is. In each
// failure domain the entry host with the smallest name reads the store (a small
// stamp, since the document may be large), and the others ask it; whoever gets no young proof from it reads the store itself.
// Ruled out: proofs in heartbeats, since a heartbeat that was held up can't be
// told from one that was not, and echoed counts cost a period more of age than
// the limit leaves.
//
// In an outage of the store no proof can be had. If an entry host of every
// other failure domain says that it can't reach the store either, it is taken
// for granted that operators can't either, and starts go on.
//
// An Editor changes the document by compare-and-swap. It remakes an edit that
// lost a race, unless the other edit touched the same items, and resolves a lost
// answer by the change id that the document remembers.
package dotterrevision
