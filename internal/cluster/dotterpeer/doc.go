// Package dotterpeer connects the entry hosts to each other.
//
// Each pair of entry hosts shares one TCP link, which carries JSON-RPC in both
// directions; a message is at most MaxMessageBytes long. Whichever host learns
// the other's address first dials it. When both dial at once, both keep the link
// dialed by the host with the smaller name. A lost link is redialed with
// jittered exponential backoff.
//
// Both ends of a link send heartbeats. A heartbeat announces when the next one
// is due and carries the sender's State only if that has changed since the
// previous heartbeat on this link, so an idle link costs about fifty bytes per
// heartbeat. A change that other hosts wait for (configuration revision,
// membership epoch and acknowledgement, shards, leaving) is sent at once. A
// change of load is sent with the next heartbeat, and only if it is large. The
// heartbeat period grows with the number of links, which keeps the total traffic
// within heartbeatBytesPerSecond. Links within the failure domain and links to
// other failure domains have separate budgets, since the former are fewer and
// matter more.
//
// The alternative to sending heartbeats to every host directly is to relay a
// summary of each failure domain over a few links. Relaying costs more bytes for
// the same age of information, unless each host depends on a single relay per
// failure domain, and it adds a hop.
//
// A connection can stop delivering data while the kernel still considers it
// open. A link that receives no heartbeat for maxMissedHeartbeats periods is
// closed and redialed. If a call is not answered in time, its link is closed
// unless the other side answers a heartbeat request within suspicionTimeout.
//
// A call whose answer does not arrive returns ErrPeerIndeterminate.
// ErrPeerUnreachable is returned only if there is no link, or if the other side
// refused the call because it is at its concurrency limit. An error returned by
// the remote handler is reported as a RemoteError: the call was carried out.
package dotterpeer
