package dotterowner

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

const (
	// messageLifetime is the longest that a message can be under way.
	messageLifetime = 60 * dotterclock.Second
	// leaseMargin is added to a lease before it is taken for lapsed.
	leaseMargin = 500
	// clockDriftParts is the inverse of the largest relative error between two clocks.
	clockDriftDivisor = 50
)

// noteStartSent bounds the lease that a start grants: it arrives no later than
// its latest start.
func (w *worker) noteStartSent(now dotterclock.Millis, limits Limits) {
	w.leaseEnd = max(w.leaseEnd, now+limits.StartWindow+limits.Lease)
}

// noteRenewalSent bounds the leases as if the renewal arrived at the last
// moment at which there is a lease to renew.
func (w *worker) noteRenewalSent(now dotterclock.Millis, limits Limits) {
	w.leaseEnd = max(w.leaseEnd, now) + limits.Lease
}

// noteRenewalAnswered bounds the leases by the answer; each earlier renewal that
// got none may still arrive and extend them once.
func (w *worker) noteRenewalAnswered(now dotterclock.Millis, limits Limits) {
	if now-w.renewalLostAt > messageLifetime {
		w.lostRenewals = 0
	}
	lost := dotterclock.Millis(w.lostRenewals)
	w.leaseEnd = now + limits.StartWindow + limits.Lease*(lost+1)
}

// noteRenewalLost counts a renewal that got no answer.
func (w *worker) noteRenewalLost(now dotterclock.Millis) {
	w.lostRenewals++
	w.renewalLostAt = now
}

// leasesLapsed reports whether no lease that this owner granted can be live.
func (w *worker) leasesLapsed(now dotterclock.Millis) bool {
	span := now - w.lastReplyAt
	return w.epochRaised && now > w.leaseEnd+leaseMargin+span/clockDriftDivisor
}

// gone reports whether the worker has left the host list for so long that the
// platform has ended it and every lease on it is past, whoever granted it.
func (w *worker) removedByPlatform(now dotterclock.Millis, limits Limits) bool {
	if w.listed || w.failures == 0 {
		return false
	}
	wait := limits.ListLag + limits.Lease + limits.StartWindow + leaseMargin
	return now > w.unlistedSince+wait+wait/clockDriftDivisor && now > w.leaseEnd
}
