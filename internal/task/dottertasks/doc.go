// Package dottertasks offers the tasks of the whole pool on every entry host.
//
// Each entry host surveys the shards about once a second: it claims those whose
// owner's store lease has lapsed, those of its own failure domain first, and
// runs an owner for each. The store lease only says when to claim; what keeps
// two owners from acting on one shard is the log itself.
//
// A call for a shard of another host is passed on over the mesh of peers. A
// submission without an idempotency key goes to any shard whose workers can run
// it, near ones first. One with a key always goes to the shard that the key
// names, which depends only on the shards there are; while that shard has no
// owner the submission is refused, never taken by another shard, so that a key
// has one task in the whole pool. A key is remembered as long as its task is
// readable. A failure domain that is added takes over the part of the keys that
// its shards name from then on; those given before are not looked for there.
package dottertasks
