// Package dotterentry accepts jobs on every entry host, regardless of which hosts own
// the shards.
//
// The host that receives a submission chooses the job's home, the shard in which it is
// accepted, and accepts it with one conditional write. It creates two keys: the job among
// those of its home, and the job's home under a key of its own, if that is absent. So
// accepting a job needs no owner, a repeated submission finds the home and stays one job,
// and repeating the write settles whether one without an answer took effect. A
// cancellation is another key, which the owners of all shards watch, since tasks of the job
// may be in several. A host that cannot write to the store forwards submissions to the host
// of an owner.
//
// The owner of the job's home answers queries for its state. While it is unreachable,
// states are read from the progress that it has stored.
package dotterentry
