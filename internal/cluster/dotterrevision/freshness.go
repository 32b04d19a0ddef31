package dotterrevision

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// EvidenceLimit is the age from which a proof no longer allows task starts.
const EvidenceLimit = 3 * dotterclock.Second

// freshness is what a process knows about whether its document is current.
// Instants are by its own clock; zero means never.
type freshness struct {
	provedAt dotterclock.Millis            // the document is no older than the store's was then
	failedAt dotterclock.Millis            // when the last failed read was sent, if none has worked since
	outages  map[string]dotterclock.Millis // by failure domain: when one of its hosts failed to read the store
}

// proved takes in that the document was current at instant.
func (f *freshness) proved(instant dotterclock.Millis) {
	f.provedAt = max(f.provedAt, instant)
}

// reached takes in that a read of the store worked.
func (f *freshness) reached() {
	f.failedAt = 0
}

// failed takes in that a read of the store sent at instant failed.
func (f *freshness) failed(instant dotterclock.Millis) {
	f.failedAt = max(f.failedAt, instant)
}

// outage takes in that a host of the failure domain failed to read the store at instant.
func (f *freshness) outage(failureDomain string, instant dotterclock.Millis) {
	if f.outages == nil {
		f.outages = map[string]dotterclock.Millis{}
	}
	f.outages[failureDomain] = max(f.outages[failureDomain], instant)
}

// current reports whether the document is proved current at now.
func (f *freshness) current(now dotterclock.Millis) bool {
	return young(now, f.provedAt)
}

// outageEverywhere reports whether this process and a host of each other
// failure domain can't reach the store. With no other failure domain nobody can
// bear witness, and it is false.
func (f *freshness) outageEverywhere(now dotterclock.Millis, others []string) bool {
	if len(others) == 0 || !young(now, f.failedAt) {
		return false
	}
	for _, o := range others {
		if !young(now, f.outages[o]) {
			return false
		}
	}
	return true
}

// evidence returns what to tell a peer at now about a document of revision.
func (f *freshness) evidence(now dotterclock.Millis, revision int64) Evidence {
	return Evidence{
		Revision:  revision,
		ProvedAge: age(now, f.provedAt),
		OutageAge: age(now, f.failedAt),
	}
}

func young(now, instant dotterclock.Millis) bool {
	return instant > 0 && now-instant < EvidenceLimit
}

// age returns how long ago instant was, or noAge for never.
func age(now, instant dotterclock.Millis) dotterclock.Millis {
	if instant == 0 {
		return noAge
	}
	return max(0, now-instant)
}
