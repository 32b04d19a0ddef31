// Package dotterpartition defines how the workers of a platform are divided into shards.
//
// Each shard has one owner, which alone gives orders to the shard's workers. A small
// platform has one shard. On a large one, the workers of a failure domain form a shard, so
// that its owner can work inside the domain and a domain that is cut off keeps its owner;
// a failure domain with many workers is cut further, by racks.
//
// A partition is stored once and does not change. The shard of a worker is a pure
// function of the partition and the worker's failure domain and rack, so that every host
// agrees on it without further messages.
package dotterpartition
