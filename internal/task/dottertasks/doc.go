// Package dottertasks implements the task API of an entry host, which gives
// access to the tasks of the whole pool.
//
// Each entry host reconciles the shards about once a second: it claims shards
// whose owner's store lease has expired, those of its own failure domain first, and
// runs an owner for each. The store lease only determines when to claim a shard.
// The shard's log ensures that no two owners act on it.
//
// A call for a shard that another host owns is forwarded to that host. A
// submission without an idempotency key goes to any shard whose workers can run
// it, preferably a near one. A submission with a key always goes to the shard that
// the key maps to, which depends only on the set of shards. While that shard has no
// owner the submission is refused and no other shard accepts it, so that a key has
// one task in the whole pool. A key is remembered as long as its task is readable.
// When a failure domain is added, part of the keys map to its shards from then on;
// tasks submitted earlier with such keys are not found by them.
package dottertasks
