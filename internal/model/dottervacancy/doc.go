// Package dottervacancy defines what the owner of a shard publishes of the room on the
// shard's workers and of the jobs that wait for it.
//
// Other hosts use it to choose the shard of a new job, and other owners to choose the
// shard to which tasks that find no worker are handed over. It is a second old or so, so
// nothing may depend on it being right.
package dottervacancy
