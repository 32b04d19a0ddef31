// Package dottershard names task shards and says which workers, owners and
// submissions belong to which.
//
// The workers of a failure domain are split among its shards by rack. The
// Layout records the split in the store and only ever grows: a rack that has a
// shard keeps it, and the number of shards stays what it was when the domain
// was first used. A rack that changed its shard could be filled by two owners
// at a time; deriving the split from the host list was ruled out for that.
package dottershard
