package dotterowner

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

const (
	// messageLifetime is the maximum time that a message can spend in the network.
	messageLifetime = 60 * dotterclock.Second
	// leaseMargin, in milliseconds, is the extra time before a lease counts as expired.
	leaseMargin = 500
	// clockDriftDivisor is the inverse of the maximum relative drift between two clocks:
	// 50 allows for 2 percent.
	clockDriftDivisor = 50
)

// noteStartSent extends leaseEnd by the lease that a start grants. The worker
// refuses a start that arrives after StartWindow.
func (w *worker) noteStartSent(now dotterclock.Millis, limits Limits) {
	w.leaseEnd = max(w.leaseEnd, now+limits.StartWindow+limits.LeaseDuration)
}

// noteRenewalSent extends leaseEnd for the worst case, in which the renewal
// arrives just before the last lease expires.
func (w *worker) noteRenewalSent(now dotterclock.Millis, limits Limits) {
	w.leaseEnd = max(w.leaseEnd, now) + limits.LeaseDuration
}

// noteRenewalAnswered sets leaseEnd from the time of the answer. Each earlier
// renewal without an answer may still arrive and extend the leases once more.
func (w *worker) noteRenewalAnswered(now dotterclock.Millis, limits Limits) {
	if now-w.renewalLostAt > messageLifetime {
		w.lostRenewals = 0
	}
	lost := dotterclock.Millis(w.lostRenewals)
	w.leaseEnd = now + limits.StartWindow + limits.LeaseDuration*(lost+1)
}

// noteRenewalLost counts a renewal that got no answer and may still arrive.
func (w *worker) noteRenewalLost(now dotterclock.Millis) {
	w.lostRenewals++
	w.renewalLostAt = now
}

// leasesExpired reports whether every lease that this owner granted to w has
// expired, allowing for clock drift since the last reply.
func (w *worker) leasesExpired(now dotterclock.Millis) bool {
	sinceReply := now - w.lastReplyAt
	return w.epochRaised && now > w.leaseEnd+leaseMargin+sinceReply/clockDriftDivisor
}

// removedByPlatform reports whether w has been off the host list for so long that
// the platform has ended it and every lease on it has expired, including those
// that previous owners granted.
func (w *worker) removedByPlatform(now dotterclock.Millis, limits Limits) bool {
	if w.listed || w.failures == 0 {
		return false
	}
	wait := limits.ListLag + limits.LeaseDuration + limits.StartWindow + leaseMargin
	return now > w.unlistedSince+wait+wait/clockDriftDivisor && now > w.leaseEnd
}
