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

// Names of the methods that a Tracker serves to peers.
const (
	methodDocument = "Configuration.Document"
	methodEvidence = "Configuration.Evidence"
)

// Sources of a document, as named in logs and metrics.
const (
	sourceWatch = "Watch"
	sourceRead  = "Read"
	sourcePeer  = "Peer"
)

// Reasons why task starts are refused.
const (
	reasonNoConfiguration  = "NoConfiguration"
	reasonDomainOut        = "FailureDomainOut"
	reasonNotProvedCurrent = "ConfigurationNotProvedCurrent"
)

var _ dotterelusher.Configuration = (*Tracker)(nil)

// Tracker keeps the newest configuration that this process has received, and tracks
// whether it is proved to be current.
type Tracker struct {
	store       dotterelusher.Store
	mesh        *dotterpeer.Mesh
	clock       dotterelusher.Clock
	logger      *zap.Logger
	metrics     *Metrics
	tomb        tomb.Tomb
	fetchNeeded chan struct{} // signals that a peer has a higher revision

	documentReadAt dotterclock.Millis // last successful read of the whole document; used only by maintainProof

	mu        sync.Mutex
	document  dotterconfig.Document
	changed   chan struct{}
	freshness freshness
}

// NewTracker returns a Tracker without a document and registers its methods with
// the mesh. It must be called before the mesh starts.
func NewTracker(store dotterelusher.Store, mesh *dotterpeer.Mesh, clock dotterelusher.Clock, logger *zap.Logger, metrics *Metrics) *Tracker {
	t := &Tracker{
		store:       store,
		mesh:        mesh,
		clock:       clock,
		logger:      logger,
		metrics:     metrics,
		fetchNeeded: make(chan struct{}, 1),
		changed:     make(chan struct{}),
	}
	mesh.Handle(methodDocument, t.answerDocument)
	mesh.Handle(methodEvidence, t.answerEvidence)
	mesh.Watch(t.handlePeerState)
	return t
}

// Start begins to follow the configuration, until Stop.
func (t *Tracker) Start() {
	t.tomb.Go(t.watch)
	t.tomb.Go(t.maintainProof)
	t.tomb.Go(t.fetch)
}

// Stop ends the updates. The document in force remains available.
func (t *Tracker) Stop() error {
	t.tomb.Kill(nil)
	return t.tomb.Wait()
}

// Current returns the document in force in this process, or false before there is
// one.
func (t *Tracker) Current() (dotterconfig.Document, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.document, t.document.Revision > 0
}

// Changed returns a channel that is closed when the next document takes effect.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// StartsAllowed reports whether tasks may be started in failureDomain, and if not,
// why.
func (t *Tracker) StartsAllowed(failureDomain string) dotterelusher.StartPermission {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.document.Revision == 0 {
		return dotterelusher.StartPermission{Reason: reasonNoConfiguration}
	}
	if t.document.DomainOut(failureDomain) {
		return dotterelusher.StartPermission{Reason: reasonDomainOut}
	}
	now := t.clock.Now()
	if t.freshness.current(now) || t.freshness.outageEverywhere(now, t.otherDomains()) {
		return dotterelusher.StartPermission{Allowed: true}
	}
	reason := fmt.Sprintf("%s: last proof %d ms ago", reasonNotProvedCurrent, age(now, t.freshness.provedAt))
	return dotterelusher.StartPermission{Overridable: true, Reason: reason}
}

// otherDomains returns the failure domains of the document, except for that of this
// host.
func (t *Tracker) otherDomains() []string {
	var others []string
	for _, f := range t.document.FailureDomains {
		if f.Name != t.mesh.Identity().FailureDomain {
			others = append(others, f.Name)
		}
	}
	return others
}

// adopt puts document in force if it is newer than the current one. It reports false
// if document is older, that is if its source answered a stale value.
func (t *Tracker) adopt(document dotterconfig.Document, source string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if document.Revision == t.document.Revision {
		return true
	}
	if !document.Newer(t.document) {
		t.metrics.olderAnswers.Inc()
		return false
	}
	t.document = document
	close(t.changed)
	t.changed = make(chan struct{})
	t.metrics.adopted.WithLabelValues(source).Inc()
	t.metrics.revision.Set(float64(document.Revision))
	t.mesh.Announce(func(s dotterpeer.State) dotterpeer.State { return s.WithRevision(document.Revision) })
	t.logger.Info("configuration in force",
		zap.Int64("Revision", document.Revision),
		zap.String("ChangeID", document.ChangeID),
		zap.String("Source", source))
	return true
}

// adoptEntry decodes the document in a store entry and adopts it.
func (t *Tracker) adoptEntry(e dotterkey.Entry, source string) bool {
	var document dotterconfig.Document
	if err := json.Unmarshal(e.Value, &document); err != nil {
		t.logger.Error("failed to decode configuration", zap.Error(err))
		return false
	}
	return t.adopt(document, source)
}

// answerDocument handles Configuration.Document: it returns the document in force.
func (t *Tracker) answerDocument(context.Context, string, json.RawMessage) (any, error) {
	document, _ := t.Current()
	return document, nil
}

// answerEvidence handles Configuration.Evidence: it returns the evidence that the
// document in force is current.
func (t *Tracker) answerEvidence(context.Context, string, json.RawMessage) (any, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshness.evidence(t.clock.Now(), t.document.Revision), nil
}

// pause waits for duration and returns true, or returns false once the Tracker is
// being stopped.
func (t *Tracker) pause(duration dotterclock.Millis) bool {
	select {
	case <-t.tomb.Dying():
		return false
	case <-t.clock.After(duration):
		return true
	}
}
