// Package dotterservice allocates slots of the backend servers of a service to
// requests.
//
// A Service tracks the servers of one template in this host's failure domain,
// how many of their slots this host may use, and the requests that wait for a
// slot. Slots are acquired from Permits, which ensures that all entry hosts
// together stay within a server's number of slots; the counts kept here only
// avoid calls to it that would fail. A slot that becomes free is granted to the
// first request in the queue while the service's lock is held, so that no free
// slot is missed and no request overtakes another.
//
// A request that is not expected to be answered in time, estimated from the queue
// length and the average latency, is refused immediately with a retry delay.
//
// Services maintains one Service per template and updates it when the
// configuration, the directory or the host's shares of slots change.
package dotterservice
