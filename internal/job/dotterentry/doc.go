// Package dotterentry accepts jobs on every entry host, whoever owns the shard.
//
// A job is accepted by one conditional write of the host that the caller reached:
// the job's key is created if it is absent. So accepting does not wait for an owner,
// a repeated submission finds the key and stays one job, and an answer that was
// lost is found out by repeating the same write. A cancellation is a second key.
// The owner follows both. A host that the store turns away passes submissions to
// the owner's host.
//
// States are the owner's to tell. While it can't be reached they are read from what
// it has stored.
package dotterentry
