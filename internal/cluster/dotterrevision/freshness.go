package dotterrevision

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// MaxEvidenceAge is the age at which evidence expires: from then on a proof, or a
// report of an outage, no longer permits task starts.
const MaxEvidenceAge = 3 * dotterclock.Second

// freshness records what a process knows about whether its document is current.
// Times are by its own clock; zero means never.
type freshness struct {
	provedAt dotterclock.Millis            // time at which the store held no newer document
	failedAt dotterclock.Millis            // when the latest failed read was sent; zero once a read succeeds
	outages  map[string]dotterclock.Millis // when a host of the failure domain failed to read the store, by domain
}

// recordProof records that the document was current at instant.
func (f *freshness) recordProof(instant dotterclock.Millis) {
	f.provedAt = max(f.provedAt, instant)
}

// recordReadSuccess records that a read of the store succeeded.
func (f *freshness) recordReadSuccess() {
	f.failedAt = 0
}

// recordReadFailure records that a read of the store, sent at instant, failed.
func (f *freshness) recordReadFailure(instant dotterclock.Millis) {
	f.failedAt = max(f.failedAt, instant)
}

// recordOutage records that a host of failureDomain failed to read the store at
// instant.
func (f *freshness) recordOutage(failureDomain string, instant dotterclock.Millis) {
	if f.outages == nil {
		f.outages = map[string]dotterclock.Millis{}
	}
	f.outages[failureDomain] = max(f.outages[failureDomain], instant)
}

// current reports whether there is unexpired proof that the document is current.
func (f *freshness) current(now dotterclock.Millis) bool {
	return recent(now, f.provedAt)
}

// outageEverywhere reports whether neither this process nor a host of each other
// failure domain can reach the store. It is false if there are no other failure
// domains, since then nothing confirms the outage.
func (f *freshness) outageEverywhere(now dotterclock.Millis, others []string) bool {
	if len(others) == 0 || !recent(now, f.failedAt) {
		return false
	}
	for _, o := range others {
		if !recent(now, f.outages[o]) {
			return false
		}
	}
	return true
}

// evidence returns the Evidence for a document with the given revision.
func (f *freshness) evidence(now dotterclock.Millis, revision int64) Evidence {
	return Evidence{
		Revision:  revision,
		ProvedAge: age(now, f.provedAt),
		OutageAge: age(now, f.failedAt),
	}
}

// recent reports whether instant is set and is less than MaxEvidenceAge ago.
func recent(now, instant dotterclock.Millis) bool {
	return instant > 0 && now-instant < MaxEvidenceAge
}

// age returns how long ago instant was, or ageNever if it is zero.
func age(now, instant dotterclock.Millis) dotterclock.Millis {
	if instant == 0 {
		return ageNever
	}
	return max(0, now-instant)
}
