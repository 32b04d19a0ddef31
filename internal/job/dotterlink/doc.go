// Package dotterlink carries calls between the entry hosts of the scheduler.
//
// A link is a TCP connection with JSON-RPC, opened when it is first needed and kept
// open. A call that times out closes its link, since the connection may be dead without
// an error. There are no heartbeats, because the store tells which host owns the shard.
package dotterlink
