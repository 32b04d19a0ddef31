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
	provePeriod = 800 * dotterclock.Millis(1)
	// readerAge is the age up to which the proof of the domain's reader is good enough.
	readerAge = 1200 * dotterclock.Millis(1)
	// askTimeout bounds one question to a peer.
	askTimeout = 500 * dotterclock.Millis(1)
	// readTimeout bounds one read of the store.
	readTimeout = dotterclock.Second
)

// prove keeps the proof that the document is current young.
func (h *Holder) prove() error {
	for {
		h.proveOnce()
		if !h.pause(provePeriod*3/4 + rand.N(provePeriod/2)) {
			return nil
		}
	}
}

// proveOnce asks the domain's reader, else reads the store, else asks one host
// of each failure domain.
func (h *Holder) proveOnce() {
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
func (h *Holder) reader() string {
	self := h.mesh.Identity()
	for _, p := range h.mesh.Live() {
		if p.FailureDomain == self.FailureDomain && !p.Leaving && p.Name < self.Name {
			return p.Name
		}
	}
	return ""
}

func (h *Holder) provedWithin(limit dotterclock.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := age(h.clock.Now(), h.fresh.provedAt)
	return a != noAge && a <= limit
}

// read reads the document from the store and reports whether that worked.
func (h *Holder) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	sentAt := h.clock.Now()
	e, err := h.store.Get(ctx, dotterconfig.Key)
	if err != nil && !errors.Is(err, dotterelusher.ErrStoreNotFound) {
		h.metrics.reads.WithLabelValues("Store", "Failed").Inc()
		h.noteFailed(sentAt)
		return false
	}
	h.metrics.reads.WithLabelValues("Store", "Done").Inc()
	current := err == nil && h.takeEntry(e, sourceRead)
	h.noteReached(sentAt, current)
	return true
}

func (h *Holder) noteFailed(sentAt dotterclock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh.failed(sentAt)
}

func (h *Holder) noteReached(sentAt dotterclock.Millis, current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fresh.reached()
	if current {
		h.fresh.proved(sentAt)
	}
}

// askEveryDomain asks one live host of each failure domain.
func (h *Holder) askEveryDomain(ctx context.Context) {
	var wait sync.WaitGroup
	for domain, name := range h.witnesses() {
		wait.Go(func() { h.ask(ctx, name, domain) })
	}
	wait.Wait()
}

// witnesses returns one host, by chance, of each failure domain, its name by the domain's.
func (h *Holder) witnesses() map[string]string {
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
func (h *Holder) ask(ctx context.Context, host, domain string) bool {
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
func (h *Holder) noteEvidence(askedAt dotterclock.Millis, domain string, e Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.ProvedAge != noAge {
		h.fresh.proved(askedAt - e.ProvedAge)
	}
	if e.OutageAge != noAge && domain != "" {
		h.fresh.outage(domain, askedAt-e.OutageAge)
	}
}
