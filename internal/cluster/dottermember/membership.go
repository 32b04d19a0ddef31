package dottermember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterdirectory"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterpeer"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterslot"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
)

// methodRecord is the method by which peers fetch the record.
const methodRecord = "Membership.Record"

// Intervals and timeouts of a Membership.
const (
	// tickPeriod is the mean interval between ticks of run.
	tickPeriod = dotterclock.Second
	// pollTicks is the number of ticks between reads of all records.
	pollTicks = 5
	// storeTimeout is the timeout of one operation on the store.
	storeTimeout = 2 * dotterclock.Second
	// drainPollInterval is the interval at which Leave checks whether this process is drained.
	drainPollInterval = 50 * dotterclock.Millisecond
)

// ErrLeaveUnfinished is returned when the process could not leave the record in
// time. Its share stays idle until the process is proved gone.
var ErrLeaveUnfinished = eris.New("membership: could not leave the record")

// Membership maintains this process's entry in the record of its failure domain.
type Membership struct {
	settings   Settings
	store      dotterelusher.Store
	mesh       *dotterpeer.Mesh
	directory  *dotterdirectory.Directory
	ledger     *dotterslot.Ledger
	clock      dotterelusher.Clock
	logger     *zap.Logger
	metrics    *Metrics
	domain     string
	tomb       tomb.Tomb
	newerEpoch chan struct{} // signals that a peer has adopted a later epoch

	mu        sync.Mutex
	self      Member
	record    Record
	leaving   bool
	firstSeen map[Member]dotterclock.Millis // when this process first read a record with the member
	addresses []string                      // of all failure domains' members as of the last read
}

// NewMembership returns a Membership for the process and the failure domain of
// mesh, and registers its methods with mesh. It must be called before mesh starts.
func NewMembership(
	settings Settings,
	store dotterelusher.Store,
	mesh *dotterpeer.Mesh,
	directory *dotterdirectory.Directory,
	ledger *dotterslot.Ledger,
	clock dotterelusher.Clock,
	logger *zap.Logger,
	metrics *Metrics,
) *Membership {
	identity := mesh.Identity()
	m := &Membership{
		settings:   settings.WithDefaults(),
		store:      store,
		mesh:       mesh,
		directory:  directory,
		ledger:     ledger,
		clock:      clock,
		logger:     logger,
		metrics:    metrics,
		domain:     identity.FailureDomain,
		newerEpoch: make(chan struct{}, 1),
		self:       Member{Host: identity.Name, Incarnation: identity.Incarnation, Address: identity.Address},
		firstSeen:  map[Member]dotterclock.Millis{},
	}
	mesh.Handle(methodRecord, m.handleRecord)
	mesh.Handle(methodAddresses, m.handleAddresses)
	mesh.Watch(m.handlePeerState)
	return m
}

// Start joins the record and maintains the membership until Stop.
func (m *Membership) Start() {
	m.tomb.Go(m.run)
	m.tomb.Go(m.maintainLease)
	m.tomb.Go(m.announceChanges)
	m.tomb.Go(m.updateServers)
}

// Stop stops maintaining the membership without leaving the record.
func (m *Membership) Stop() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

// Joined reports whether the record that was last read contains this process.
func (m *Membership) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record.Has(m.self)
}

// Record returns the record that was last read.
func (m *Membership) Record() Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record
}

// Leave removes this process from the member list, waits until it uses no slots
// or connections, and then marks it gone in the record. It returns
// ErrLeaveUnfinished if ctx ends first.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	self := m.self
	m.mu.Unlock()
	m.mesh.Announce(dotterpeer.State.WithLeaving)
	if err := m.changeUntilDone(ctx, kindLeave, func(r Record) Record { return r.WithLeft(self) }); err != nil {
		return err
	}
	for !m.ledger.Drained() {
		if !m.sleep(ctx, drainPollInterval) {
			return eris.Wrap(ErrLeaveUnfinished, "requests are still in progress")
		}
	}
	return m.changeUntilDone(ctx, kindGone, func(r Record) Record { return r.WithGone(self) })
}

// changeUntilDone retries a change until it succeeds or ctx ends.
func (m *Membership) changeUntilDone(ctx context.Context, kind changeKind, apply func(Record) Record) error {
	for {
		err := m.change(ctx, kind, apply)
		if err == nil {
			return nil
		}
		if !m.sleep(ctx, changeRetryDelay/2+rand.N(changeRetryDelay)) {
			return eris.Wrap(ErrLeaveUnfinished, err.Error())
		}
	}
}

// run performs the periodic work until Stop.
func (m *Membership) run() error {
	ctx := m.tomb.Context(context.Background())
	for tick := 0; ; tick++ {
		if tick%pollTicks == 0 {
			m.readRecords(ctx)
		}
		m.join(ctx)
		m.ledger.Refresh()
		m.closeEpochs(ctx)
		if tick%pollTicks == 0 {
			m.reclaim(ctx)
		}
		select {
		case <-m.tomb.Dying():
			return nil
		case <-m.newerEpoch:
			m.readRecord(ctx)
		case <-m.clock.After(tickPeriod*3/4 + rand.N(tickPeriod/2)):
		}
	}
}

// join makes this process a member. If the record marks this process as gone even
// though it runs, it rejoins under a new incarnation once it uses nothing any more.
func (m *Membership) join(ctx context.Context) {
	m.mu.Lock()
	nothingToDo := m.leaving || m.record.Has(m.self)
	expelled := !nothingToDo && m.record.Revision > 0 && m.firstSeen[m.self] > 0
	if expelled && m.ledger.Drained() {
		delete(m.firstSeen, m.self)
		m.self.Incarnation = max(int64(m.clock.Now()), m.self.Incarnation+1)
	}
	self := m.self
	m.mu.Unlock()
	if nothingToDo || (expelled && !m.ledger.Drained()) {
		return
	}
	err := m.change(ctx, kindJoin, func(r Record) Record {
		if m.isLeaving() {
			return r
		}
		joined, ok := r.WithJoined(self)
		if !ok {
			m.logger.Warn("cannot join the record: too many open epochs", zap.Int("Open", len(r.Open)))
		}
		return joined
	})
	if err != nil {
		m.logger.Debug("cannot join the record", zap.Error(err))
	}
}

func (m *Membership) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// closeEpochs removes the open epochs that all members have released.
func (m *Membership) closeEpochs(ctx context.Context) {
	record := m.Record()
	if record.WithClosed(m.hasReleased).Revision == record.Revision {
		return
	}
	err := m.change(ctx, kindClose, func(r Record) Record { return r.WithClosed(m.hasReleased) })
	if err != nil {
		m.logger.Debug("cannot close epochs", zap.Error(err))
	}
}

func (m *Membership) hasReleased(member Member, epoch int64) bool {
	return m.ledger.HasReleased(member.slotMember(), epoch)
}

// adopt makes r the current record if it is newer.
func (m *Membership) adopt(r Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Revision <= m.record.Revision {
		return
	}
	if r.Current.Number != m.record.Current.Number {
		m.logger.Info("new membership epoch",
			zap.Int64("Epoch", r.Current.Number),
			zap.Int("Members", len(r.Current.Members)),
			zap.Int("Open", len(r.Open)))
	}
	m.record = r
	m.updateFirstSeen(r)
	m.metrics.members.Set(float64(len(r.Current.Members)))
	m.ledger.Adopt(m.self.slotMember(), r.View())
}

// updateFirstSeen records when each member of r was first seen. The caller holds m.mu.
func (m *Membership) updateFirstSeen(r Record) {
	now := m.clock.Now()
	seen := map[Member]dotterclock.Millis{}
	for _, member := range r.notGone() {
		seen[member] = now
		if at, ok := m.firstSeen[member]; ok {
			seen[member] = at
		}
	}
	if at, ok := m.firstSeen[m.self]; ok {
		seen[m.self] = at
	}
	m.firstSeen = seen
}

// announceChanges announces to peers the epochs that this process adopts and acknowledges.
func (m *Membership) announceChanges() error {
	for {
		changed := m.ledger.Changed()
		m.announce()
		select {
		case <-m.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

func (m *Membership) announce() {
	m.mu.Lock()
	incarnation, epoch := m.self.Incarnation, m.record.Current.Number
	m.mu.Unlock()
	acknowledged := m.ledger.AcknowledgedBy(incarnation)
	m.mesh.Announce(func(s dotterpeer.State) dotterpeer.State {
		return s.WithMembership(incarnation, epoch, acknowledged)
	})
}

// updateServers passes the backend servers of this failure domain to the ledger.
func (m *Membership) updateServers() error {
	for {
		changed := m.directory.Changed()
		var servers []dotterhost.Host
		for _, h := range m.directory.Hosts() {
			if h.Role == dotterhost.RoleBackend && h.FailureDomain == m.domain {
				servers = append(servers, h)
			}
		}
		m.ledger.SetServers(servers)
		select {
		case <-m.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

// handlePeerState processes the state announced by a peer. The mesh calls it for
// all peers; those of other failure domains are ignored.
func (m *Membership) handlePeerState(peer dotterpeer.PeerState) {
	if peer.Identity.FailureDomain != m.domain || peer.State.Epoch == 0 {
		return
	}
	member := dotterslot.Member{Host: peer.Identity.Name, Incarnation: peer.State.Incarnation}
	if peer.State.Acknowledged > 0 {
		m.ledger.Acknowledge(member, peer.State.Acknowledged)
	}
	if peer.State.Epoch <= m.Record().Current.Number {
		return
	}
	select {
	case m.newerEpoch <- struct{}{}:
	default:
	}
}

func (m *Membership) handleRecord(context.Context, string, json.RawMessage) (any, error) {
	return m.Record(), nil
}

// sleep waits for duration. It returns false if ctx ended first.
func (m *Membership) sleep(ctx context.Context, duration dotterclock.Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.clock.After(duration):
		return true
	}
}
