package dotterrevision

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterpeer"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// Methods that a Holder answers to peers.
const (
	methodDocument = "Configuration.Document"
	methodEvidence = "Configuration.Evidence"
)

// Sources of a revision, for logs and metrics.
const (
	sourceWatch = "Watch"
	sourceRead  = "Read"
	sourcePeer  = "Peer"
)

// Reasons why task starts are refused.
const (
	reasonNone  = "NoConfiguration"
	reasonOut   = "FailureDomainOut"
	reasonStale = "ConfigurationNotProvedCurrent"
)

var _ dotterelusher.Configuration = (*Tracker)(nil)

// Tracker holds the newest configuration that this process has.
type Tracker struct {
	store   dotterelusher.Store
	mesh    *dotterpeer.Mesh
	clock   dotterelusher.Clock
	logger  *zap.Logger
	metrics *Metrics
	tomb    tomb.Tomb
	lacking chan struct{} // a peer has a higher revision

	documentReadAt dotterclock.Millis // last good read of the whole document; used by prove alone

	mu       sync.Mutex
	document dotterconfig.Document
	changed  chan struct{}
	fresh    freshness
}

// NewTracker returns a holder without a document and registers its methods with
// the mesh; it must be called before the mesh starts.
func NewTracker(store dotterelusher.Store, mesh *dotterpeer.Mesh, clock dotterelusher.Clock, logger *zap.Logger, metrics *Metrics) *Tracker {
	h := &Tracker{
		store:   store,
		mesh:    mesh,
		clock:   clock,
		logger:  logger,
		metrics: metrics,
		lacking: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	mesh.Handle(methodDocument, h.answerDocument)
	mesh.Handle(methodEvidence, h.answerEvidence)
	mesh.Watch(h.observe)
	return h
}

// Start follows the configuration until Stop.
func (h *Tracker) Start() {
	h.tomb.Go(h.watch)
	h.tomb.Go(h.prove)
	h.tomb.Go(h.fetch)
}

// Stop ends following; the document stays.
func (h *Tracker) Stop() error {
	h.tomb.Kill(nil)
	return h.tomb.Wait()
}

// Current returns the document in force here, or false before there is one.
func (h *Tracker) Current() (dotterconfig.Document, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.document, h.document.Revision > 0
}

// Changed returns a channel that is closed at the next change.
func (h *Tracker) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// StartsAllowed reports whether task starts may be made in the failure domain.
func (h *Tracker) StartsAllowed(failureDomain string) dotterelusher.StartPermission {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.document.Revision == 0 {
		return dotterelusher.StartPermission{Reason: reasonNone}
	}
	if h.document.DomainOut(failureDomain) {
		return dotterelusher.StartPermission{Reason: reasonOut}
	}
	now := h.clock.Now()
	if h.fresh.current(now) || h.fresh.outageEverywhere(now, h.otherDomains()) {
		return dotterelusher.StartPermission{Allowed: true}
	}
	reason := fmt.Sprintf("%s: last proof %d ms ago", reasonStale, age(now, h.fresh.provedAt))
	return dotterelusher.StartPermission{Overridable: true, Reason: reason}
}

// otherDomains returns the failure domains of the document but this host's own.
func (h *Tracker) otherDomains() []string {
	var others []string
	for _, f := range h.document.FailureDomains {
		if f.Name != h.mesh.Identity().FailureDomain {
			others = append(others, f.Name)
		}
	}
	return others
}

// take makes document the one in force if it is newer, and reports whether the
// one now in force is at least as new.
func (h *Tracker) take(document dotterconfig.Document, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if document.Revision == h.document.Revision {
		return true
	}
	if !document.Newer(h.document) {
		h.metrics.refused.Inc()
		return false
	}
	h.document = document
	close(h.changed)
	h.changed = make(chan struct{})
	h.metrics.taken.WithLabelValues(source).Inc()
	h.metrics.revision.Set(float64(document.Revision))
	h.mesh.Announce(func(s dotterpeer.State) dotterpeer.State { return s.WithRevision(document.Revision) })
	h.logger.Info("configuration in force",
		zap.Int64("Revision", document.Revision),
		zap.String("ChangeID", document.ChangeID),
		zap.String("Source", source))
	return true
}

// takeEntry decodes a store entry and takes it.
func (h *Tracker) takeEntry(e dotterkey.Entry, source string) bool {
	var document dotterconfig.Document
	if err := json.Unmarshal(e.Value, &document); err != nil {
		h.logger.Error("configuration can't be decoded", zap.Error(err))
		return false
	}
	return h.take(document, source)
}

// answerDocument gives a peer the document in force.
func (h *Tracker) answerDocument(context.Context, string, json.RawMessage) (any, error) {
	document, _ := h.Current()
	return document, nil
}

// answerEvidence tells a peer how current the document in force is.
func (h *Tracker) answerEvidence(context.Context, string, json.RawMessage) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fresh.evidence(h.clock.Now(), h.document.Revision), nil
}

// pause waits for span and reports whether the holder goes on.
func (h *Tracker) pause(span dotterclock.Millis) bool {
	select {
	case <-h.tomb.Dying():
		return false
	case <-h.clock.After(span):
		return true
	}
}
