package dotterrevision

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// Timing of the proofs that the document is current.
const (
	// proofInterval is the mean time between two proofs.
	proofInterval = 800 * dotterclock.Millisecond
	// documentReadInterval is the time after which the document is read again even
	// if the stamp has not changed.
	documentReadInterval = 30 * dotterclock.Second
	// maxReaderProofAge is the age up to which a proof from the domain's reader is
	// accepted; if it is older, the store is read instead.
	maxReaderProofAge = 1200 * dotterclock.Millisecond
	// evidenceTimeout bounds one request for evidence to a peer.
	evidenceTimeout = 500 * dotterclock.Millisecond
	// readTimeout bounds one read of the store.
	readTimeout = dotterclock.Second
)

// maintainProof renews the proof that the document is current every proofInterval,
// until the Tracker is stopped.
func (t *Tracker) maintainProof() error {
	for {
		t.refreshProof()
		if !t.pause(proofInterval*3/4 + rand.N(proofInterval/2)) {
			return nil
		}
	}
}

// refreshProof requests evidence from the domain's reader. If that gives no recent
// proof, it reads the store, and if the store does not answer, it requests evidence
// from one host of each failure domain.
func (t *Tracker) refreshProof() {
	ctx := t.tomb.Context(context.Background())
	if reader := t.domainReader(); reader != "" && t.requestEvidence(ctx, reader, "") && t.provedWithin(maxReaderProofAge) {
		return
	}
	if t.readStore(ctx) {
		return
	}
	t.requestEvidenceFromEachDomain(ctx)
}

// domainReader returns the name of the host that reads the store for the others in
// this failure domain, or "" if that is this host.
func (t *Tracker) domainReader() string {
	self := t.mesh.Identity()
	for _, p := range t.mesh.Live() {
		if p.FailureDomain == self.FailureDomain && !p.Leaving && p.Name < self.Name {
			return p.Name
		}
	}
	return ""
}

// provedWithin reports whether the latest proof is at most limit old.
func (t *Tracker) provedWithin(limit dotterclock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := age(t.clock.Now(), t.freshness.provedAt)
	return a != ageNever && a <= limit
}

// readStore reads the store for proof that the document is current, and reports
// whether the store answered. It reads the stamp, and the document itself only if
// the stamp proves nothing or after documentReadInterval.
func (t *Tracker) readStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	sentAt := t.clock.Now()
	if sentAt-t.documentReadAt < documentReadInterval {
		s, _, err := readStamp(ctx, t.store)
		if err != nil {
			return t.recordReadFailure(sentAt, err)
		}
		if t.stampMatches(s) {
			return t.recordReadSuccess(sentAt, true)
		}
		sentAt = t.clock.Now()
	}
	return t.readDocument(ctx, sentAt)
}

// stampMatches reports whether s proves that the document in force is the newest. A
// stamp with a lower revision comes from a store that answers stale values.
func (t *Tracker) stampMatches(s stamp) bool {
	return s.Revision > 0 && s.Revision == t.revision()
}

// readDocument reads the document from the store for proof that the one in force is
// current, and reports whether the store answered.
func (t *Tracker) readDocument(ctx context.Context, sentAt dotterclock.Millis) bool {
	e, err := t.store.Get(ctx, dotterconfig.Key)
	if err != nil && !errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return t.recordReadFailure(sentAt, err)
	}
	t.documentReadAt = sentAt
	return t.recordReadSuccess(sentAt, err == nil && t.adoptEntry(e, sourceRead))
}

// recordReadFailure records that the store did not answer a read, and returns false.
// A read that was never sent is no evidence of an outage.
func (t *Tracker) recordReadFailure(sentAt dotterclock.Millis, err error) bool {
	t.metrics.reads.WithLabelValues("Store", "Failed").Inc()
	if errors.Is(err, dotterelusher.ErrStoreRateLimited) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freshness.recordReadFailure(sentAt)
	return false
}

// recordReadSuccess records that the store answered a read, and returns true. The
// read is a proof if current is set.
func (t *Tracker) recordReadSuccess(sentAt dotterclock.Millis, current bool) bool {
	t.metrics.reads.WithLabelValues("Store", "Done").Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freshness.recordReadSuccess()
	if current {
		t.freshness.recordProof(sentAt)
	}
	return true
}

// requestEvidenceFromEachDomain requests evidence from one live host of each failure
// domain.
func (t *Tracker) requestEvidenceFromEachDomain(ctx context.Context) {
	var wait sync.WaitGroup
	for domain, name := range t.samplePeerPerDomain() {
		wait.Go(func() { t.requestEvidence(ctx, name, domain) })
	}
	wait.Wait()
}

// samplePeerPerDomain returns a random live host of each failure domain, by domain.
func (t *Tracker) samplePeerPerDomain() map[string]string {
	chosen := map[string]string{}
	seen := map[string]int{}
	for _, p := range t.mesh.Live() {
		seen[p.FailureDomain]++
		if rand.N(seen[p.FailureDomain]) == 0 {
			chosen[p.FailureDomain] = p.Name
		}
	}
	return chosen
}

// requestEvidence requests and records the evidence of host, and reports whether it
// did. If domain is not empty, an outage that host reports counts for that failure
// domain.
func (t *Tracker) requestEvidence(ctx context.Context, host, domain string) bool {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout.Duration())
	defer cancel()
	askedAt := t.clock.Now()
	var e Evidence
	if err := t.mesh.Call(ctx, host, methodEvidence, nil, &e); err != nil {
		t.metrics.reads.WithLabelValues("Peer", "Failed").Inc()
		return false
	}
	t.metrics.reads.WithLabelValues("Peer", "Done").Inc()
	if !t.ensureRevision(ctx, host, e.Revision) {
		return false
	}
	t.recordEvidence(askedAt, domain, e)
	return true
}

// recordEvidence records the evidence e. Its ages are subtracted from askedAt, when
// the request was sent, so that delays cannot make the evidence look more recent.
func (t *Tracker) recordEvidence(askedAt dotterclock.Millis, domain string, e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.ProvedAge != ageNever {
		t.freshness.recordProof(askedAt - e.ProvedAge)
	}
	if e.OutageAge != ageNever && domain != "" {
		t.freshness.recordOutage(domain, askedAt-e.OutageAge)
	}
}
