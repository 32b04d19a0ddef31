// Package dotterlink carries calls between the entry hosts of the scheduler.
//
// A link is a TCP connection with JSON-RPC, dialled when it is first needed and
// kept. A call that gets no answer in its time closes the link, since a connection
// may have gone silent for good. There are no heartbeats: who owns the shard is
// told by the store.
package dotterlink
