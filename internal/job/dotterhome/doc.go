// Package dotterhome chooses the shard in which a job is accepted, its home.
//
// The home's owner runs the job's tasks on its own workers, decides the job's outcome and
// answers queries for its state. The choice uses what the owners have published, which is
// a second old or so; many hosts choose at the same time, so each choice is random, with
// the shards weighted by their room. A wrong choice is corrected by the owners, which hand
// tasks over to another shard (package dotterboard).
package dotterhome
