// Package dotterpeer links the entry hosts to each other.
//
// Every two entry hosts share one TCP link, which carries JSON-RPC both ways;
// each message is bounded by MessageLimit. Whichever host learns the other's
// address first dials it; when both dial at once, both keep the link that the
// host with the smaller name has dialled. A lost link is dialled again with
// jittered backoff.
//
// Both ends of a link send heartbeats. A heartbeat says when the next one is
// due and carries the sender's State only when that has changed since the last
// one on this link, so that an idle link costs some fifty bytes a heartbeat. A
// change that others wait for (configuration revision, membership epoch and
// acknowledgement, shards, leaving) is sent at once; a change of load waits for
// the next heartbeat and is sent only if it is large. The more links there are,
// the longer the span between two heartbeats, so that the whole stays within
// beatBudget; links within the failure domain and to others are counted apart,
// since the former are fewer and matter more.
//
// Weighed against this direct fan-out: relaying a summary of each failure domain
// over a few links. It costs more bytes for the same age, unless each host
// depends on a single relay per failure domain, and adds a hop.
//
// A connection can go silent for good while the kernel still believes in it. A
// link whose heartbeats stay away for silentBeats periods is closed and dialled
// again; one on which a call was not answered in time is closed unless the other
// side sends a heartbeat within proofTimeout of being asked for one.
//
// An answer that never comes leaves the caller with ErrPeerIndeterminate; only
// a call for which there was no link, or which the other side refused for want
// of capacity, is ErrPeerUnreachable. An error that the remote handler returned
// is a RemoteError: the call was carried out.
package dotterpeer
