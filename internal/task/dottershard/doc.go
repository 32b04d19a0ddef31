// Package dottershard names task shards and maps workers, owner hosts and
// idempotency keys to them.
//
// The workers of a failure domain are split among its shards by rack. A Layout
// stores the split. Racks are only ever added to it: a rack keeps its shard, and
// the number of shards stays the same as when the domain was first used. The
// split is stored instead of derived from the host list because two owners could
// place tasks on the same rack at a time if the rack changed its shard.
package dottershard
