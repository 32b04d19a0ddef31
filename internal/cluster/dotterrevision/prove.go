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

// Spans of proving the document current.
const (
	// provePeriod is the span between two proofs.
	provePeriod = 800 * dotterclock.Millisecond
	// documentPeriod is the span after which the document itself is read again.
	documentPeriod = 30 * dotterclock.Second
	// readerAge is the age up to which the proof of the domain's reader is good enough.
	readerAge = 1200 * dotterclock.Millisecond
	// askTimeout bounds one question to a peer.
	askTimeout = 500 * dotterclock.Millisecond
	// readTimeout bounds one read of the store.
	readTimeout = dotterclock.Second
)

// prove keeps the proof that the document is current young.
func (h *Tracker) prove() error {
	for {
		h.proveOnce()
		if !h.pause(provePeriod*3/4 + rand.N(provePeriod/2)) {
			return nil
		}
	}
}

// proveOnce asks the domain's reader, else reads the store, else asks one host
// of each failure domain.
func (h *Tracker) proveOnce() {
	ctx := h.tomb.Context(context.Background())
	if reader := h.reader(); reader != "" && h.ask(ctx, reader, "") && h.provedWithin(readerAge) {
		return
	}
	if h.read(ctx) {
		return
	}
	h.askEveryDomain(ctx)
}

// reader returns the host of this domain that reads the store for the others,
// or "" if that is this one.
func (h *Tracker) reader() string {
	self := h.mesh.Identity()
	for _, p := range h.mesh.Live() {
		if p.FailureDomain == self.FailureDomain && !p.Leaving && p.Name < self.Name {
			return p.Name
		}
	}
	return ""
}

func (h *Tracker) provedWithin(limit dotterclock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := age(h.clock.Now(), h.fresh.provedAt)
	return a != noAge && a <= limit
}

// read proves the document current from the store and reports whether the
// store answered: by the stamp, or by the document itself when the stamp does
// not tell, and now and then in any case.
func (h *Tracker) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	sentAt := h.clock.Now()
	if sentAt-h.documentReadAt < documentPeriod {
		s, _, err := readStamp(ctx, h.store)
		if err != nil {
			return h.noteFailed(sentAt, err)
		}
		if h.matches(s) {
			return h.noteReached(sentAt, true)
		}
		sentAt = h.clock.Now()
	}
	return h.readDocument(ctx, sentAt)
}

// matches reports whether s shows that the document in force is the newest. A
// stamp that is behind comes from a store that answers old values.
func (h *Tracker) matches(s stamp) bool {
	return s.Revision > 0 && s.Revision == h.revision()
}

func (h *Tracker) readDocument(ctx context.Context, sentAt dotterclock.Millis) bool {
	e, err := h.store.Get(ctx, dotterconfig.Key)
	if err != nil && !errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return h.noteFailed(sentAt, err)
	}
	h.documentReadAt = sentAt
	return h.noteReached(sentAt, err == nil && h.takeEntry(e, sourceRead))
}

// noteFailed takes in that the store did not answer a read, and returns false. A
// read that was never sent is no evidence of an outage.
func (h *Tracker) noteFailed(sentAt dotterclock.Millis, err error) bool {
	h.metrics.reads.WithLabelValues("Store", "Failed").Inc()
	if errors.Is(err, dotterelusher.ErrStoreNotAsked) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh.failed(sentAt)
	return false
}

// noteReached takes in that the store answered a read, and returns true.
func (h *Tracker) noteReached(sentAt dotterclock.Millis, current bool) bool {
	h.metrics.reads.WithLabelValues("Store", "Done").Inc()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh.reached()
	if current {
		h.fresh.proved(sentAt)
	}
	return true
}

// askEveryDomain asks one live host of each failure domain.
func (h *Tracker) askEveryDomain(ctx context.Context) {
	var wait sync.WaitGroup
	for domain, name := range h.witnesses() {
		wait.Go(func() { h.ask(ctx, name, domain) })
	}
	wait.Wait()
}

// witnesses returns one host, by chance, of each failure domain, its name by the domain's.
func (h *Tracker) witnesses() map[string]string {
	chosen := map[string]string{}
	seen := map[string]int{}
	for _, p := range h.mesh.Live() {
		seen[p.FailureDomain]++
		if rand.N(seen[p.FailureDomain]) == 0 {
			chosen[p.FailureDomain] = p.Name
		}
	}
	return chosen
}

// ask asks host for its evidence and takes it in. If domain is not empty, host
// also bears witness for that failure domain that the store can't be reached.
func (h *Tracker) ask(ctx context.Context, host, domain string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	askedAt := h.clock.Now()
	var e Evidence
	if err := h.mesh.Call(ctx, host, methodEvidence, nil, &e); err != nil {
		h.metrics.reads.WithLabelValues("Peer", "Failed").Inc()
		return false
	}
	h.metrics.reads.WithLabelValues("Peer", "Done").Inc()
	if !h.ensure(ctx, host, e.Revision) {
		return false
	}
	h.noteEvidence(askedAt, domain, e)
	return true
}

// noteEvidence counts every age from when the question was sent.
func (h *Tracker) noteEvidence(askedAt dotterclock.Millis, domain string, e Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.ProvedAge != noAge {
		h.fresh.proved(askedAt - e.ProvedAge)
	}
	if e.OutageAge != noAge && domain != "" {
		h.fresh.outage(domain, askedAt-e.OutageAge)
	}
}
