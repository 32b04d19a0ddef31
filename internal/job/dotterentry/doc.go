// Package dotterentry accepts jobs on every entry host, regardless of which host owns
// the shard.
//
// The host that receives a submission accepts it with one conditional write, which
// creates the job's key if it is absent. So accepting a job needs no owner, a repeated
// submission finds the key and stays one job, and repeating the write settles whether
// one without an answer took effect. A cancellation is a second key. The owner watches
// both. A host that cannot write to the store forwards submissions to the owner's host.
//
// The owner answers queries for job states. While it is unreachable, states are read
// from the progress it has stored.
package dotterentry
