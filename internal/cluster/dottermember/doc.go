// Package dottermember keeps the failure domain's membership record in the
// store and this process's place in it.
//
// There is one Record for each failure domain, changed by compare-and-swap
// only. Joining, leaving and reclaiming a dead member's share start a new epoch;
// the member list of the former one stays in the record as an open epoch until
// every member that is not proved gone has acknowledged a later one. Package
// dotterslot derives from the record what each member may use.
//
// Every change is a function from the record as read to the record as wanted,
// and is repeated until the record as read already shows it. So an answer that
// was lost is resolved by reading back, and a lost race by trying again.
//
// A member's share is reclaimed only on proof that its process is gone: it left
// by itself once nothing was in use; or another process runs at its address,
// which the mesh of the old one held bound for as long as it lived; or its store
// lease has lapsed and every good read of the host list has shown it absent for
// longer than the list's lag. A lapsed lease alone proves nothing, since a
// paused process wakes up and goes on. A host list that can't be read proves
// nothing.
//
// Nothing here is renewed for the share's sake: while the store is away the
// record stays as it was last read. A process that starts without the store is
// in no record, holds nothing, and passes requests on.
package dottermember
