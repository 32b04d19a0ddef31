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

// methodRecord is the method with which peers fetch the record.
const methodRecord = "Membership.Record"

// Spans of a Keeper's work.
const (
	// tickPeriod is the span between two looks at what is to be done.
	tickPeriod = dotterclock.Second
	// pollTicks is the number of ticks between two reads of all records.
	pollTicks = 5
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * dotterclock.Second
	// drainPeriod is the span between two looks at whether this process is drained.
	drainPeriod = 50 * dotterclock.Millisecond
)

// ErrLeaveUnfinished means that the process could not leave its record in time;
// its share stays idle until it is proved gone.
var ErrLeaveUnfinished = eris.New("membership: could not leave the record")

// Membership keeps this process's place in its failure domain's record.
type Membership struct {
	settings  Settings
	store     dotterelusher.Store
	mesh      *dotterpeer.Mesh
	directory *dotterdirectory.Directory
	ledger    *dotterslot.Ledger
	clock     dotterelusher.Clock
	logger    *zap.Logger
	metrics   *Metrics
	domain    string
	tomb      tomb.Tomb
	behind    chan struct{} // a peer has adopted a later epoch

	mu        sync.Mutex
	self      Member
	record    Record
	leaving   bool
	seenAt    map[Member]dotterclock.Millis // since when each member is in the record read here
	addresses []string                      // at which peers are dialled, seeds apart
}

// NewMembership returns a keeper for the process and failure domain of mesh, and
// registers its methods with the mesh; it must be called before the mesh starts.
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
	k := &Membership{
		settings:  settings.WithDefaults(),
		store:     store,
		mesh:      mesh,
		directory: directory,
		ledger:    ledger,
		clock:     clock,
		logger:    logger,
		metrics:   metrics,
		domain:    identity.FailureDomain,
		behind:    make(chan struct{}, 1),
		self:      Member{Host: identity.Name, Incarnation: identity.Incarnation, Address: identity.Address},
		seenAt:    map[Member]dotterclock.Millis{},
	}
	mesh.Handle(methodRecord, k.answerRecord)
	mesh.Handle(methodAddresses, k.answerAddresses)
	mesh.Watch(k.observe)
	return k
}

// Start joins the record and keeps the place in it until Stop.
func (k *Membership) Start() {
	k.tomb.Go(k.keep)
	k.tomb.Go(k.keepLease)
	k.tomb.Go(k.followLedger)
	k.tomb.Go(k.followDirectory)
}

// Stop ends keeping the place without leaving the record.
func (k *Membership) Stop() error {
	k.tomb.Kill(nil)
	return k.tomb.Wait()
}

// Joined reports whether this process is a member in the record last read.
func (k *Membership) Joined() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.record.Has(k.self)
}

// Record returns the record last read.
func (k *Membership) Record() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.record
}

// Leave takes this process out of the record, waits until nothing is in use any
// more, and says so in the record; it returns ErrLeaveUnfinished if ctx ends first.
func (k *Membership) Leave(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	self := k.self
	k.mu.Unlock()
	k.mesh.Announce(dotterpeer.State.WithLeaving)
	if err := k.insist(ctx, kindLeave, func(r Record) Record { return r.WithLeft(self) }); err != nil {
		return err
	}
	for !k.ledger.Drained() {
		if !k.wait(ctx, drainPeriod) {
			return eris.Wrap(ErrLeaveUnfinished, "requests are still in progress")
		}
	}
	return k.insist(ctx, kindGone, func(r Record) Record { return r.WithGone(self) })
}

// insist repeats a change until it is made or ctx ends.
func (k *Membership) insist(ctx context.Context, kind changeKind, change func(Record) Record) error {
	for {
		err := k.change(ctx, kind, change)
		if err == nil {
			return nil
		}
		if !k.wait(ctx, storeRetry/2+rand.N(storeRetry)) {
			return eris.Wrap(ErrLeaveUnfinished, err.Error())
		}
	}
}

// keep does at every tick what is due.
func (k *Membership) keep() error {
	ctx := k.tomb.Context(context.Background())
	for tick := 0; ; tick++ {
		if tick%pollTicks == 0 {
			k.readAll(ctx)
		}
		k.join(ctx)
		k.ledger.Refresh()
		k.closeEpochs(ctx)
		if tick%pollTicks == 0 {
			k.reclaim(ctx)
		}
		select {
		case <-k.tomb.Dying():
			return nil
		case <-k.behind:
			k.catchUp(ctx)
		case <-k.clock.After(tickPeriod*3/4 + rand.N(tickPeriod/2)):
		}
	}
}

// join makes this process a member. One that finds itself proved gone, though
// it lives, comes back as another member once it holds nothing any more.
func (k *Membership) join(ctx context.Context) {
	k.mu.Lock()
	idle := k.leaving || k.record.Has(k.self)
	expelled := !idle && k.record.Revision > 0 && k.seenAt[k.self] > 0
	if expelled && k.ledger.Drained() {
		delete(k.seenAt, k.self)
		k.self.Incarnation = max(int64(k.clock.Now()), k.self.Incarnation+1)
	}
	self := k.self
	k.mu.Unlock()
	if idle || (expelled && !k.ledger.Drained()) {
		return
	}
	err := k.change(ctx, kindJoin, func(r Record) Record {
		if k.isLeaving() {
			return r
		}
		joined, ok := r.WithJoined(self)
		if !ok {
			k.logger.Warn("too many open epochs to join", zap.Int("Open", len(r.Open)))
		}
		return joined
	})
	if err != nil {
		k.logger.Debug("joining the record", zap.Error(err))
	}
}

func (k *Membership) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

// closeEpochs drops the open epochs that every member has let go of.
func (k *Membership) closeEpochs(ctx context.Context) {
	record := k.Record()
	if record.WithClosed(k.letGo).Revision == record.Revision {
		return
	}
	err := k.change(ctx, kindClose, func(r Record) Record { return r.WithClosed(k.letGo) })
	if err != nil {
		k.logger.Debug("closing epochs", zap.Error(err))
	}
}

func (k *Membership) letGo(m Member, epoch int64) bool {
	return k.ledger.LetGo(m.identity(), epoch)
}

// adopt takes a record that is newer than the one at hand.
func (k *Membership) adopt(r Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Revision <= k.record.Revision {
		return
	}
	if r.Current.Number != k.record.Current.Number {
		k.logger.Info("membership epoch",
			zap.Int64("Epoch", r.Current.Number),
			zap.Int("Members", len(r.Current.Members)),
			zap.Int("Open", len(r.Open)))
	}
	k.record = r
	k.noteSeen(r)
	k.metrics.members.Set(float64(len(r.Current.Members)))
	k.ledger.Adopt(k.self.identity(), r.View())
}

// noteSeen remembers since when each member is known here.
func (k *Membership) noteSeen(r Record) {
	now := k.clock.Now()
	seen := map[Member]dotterclock.Millis{}
	for _, m := range r.awaited() {
		seen[m] = now
		if at, ok := k.seenAt[m]; ok {
			seen[m] = at
		}
	}
	if at, ok := k.seenAt[k.self]; ok {
		seen[k.self] = at
	}
	k.seenAt = seen
}

// followLedger tells peers the epochs that this process has adopted and acknowledged.
func (k *Membership) followLedger() error {
	for {
		changed := k.ledger.Changed()
		k.announce()
		select {
		case <-k.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

func (k *Membership) announce() {
	k.mu.Lock()
	incarnation, epoch := k.self.Incarnation, k.record.Current.Number
	k.mu.Unlock()
	acknowledged := k.ledger.AcknowledgedBy(incarnation)
	k.mesh.Announce(func(s dotterpeer.State) dotterpeer.State {
		return s.WithMembership(incarnation, epoch, acknowledged)
	})
}

// followDirectory tells the ledger which backend servers this failure domain has.
func (k *Membership) followDirectory() error {
	for {
		changed := k.directory.Changed()
		var servers []dotterhost.Host
		for _, h := range k.directory.Hosts() {
			if h.Role == dotterhost.RoleBackend && h.FailureDomain == k.domain {
				servers = append(servers, h)
			}
		}
		k.ledger.SetServers(servers)
		select {
		case <-k.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

// observe takes in what a peer of this failure domain tells. The mesh calls it.
func (k *Membership) observe(told dotterpeer.PeerState) {
	if told.Identity.FailureDomain != k.domain || told.State.Epoch == 0 {
		return
	}
	member := dotterslot.Member{Host: told.Identity.Name, Incarnation: told.State.Incarnation}
	if told.State.Acknowledged > 0 {
		k.ledger.Acknowledge(member, told.State.Acknowledged)
	}
	if told.State.Epoch <= k.Record().Current.Number {
		return
	}
	select {
	case k.behind <- struct{}{}:
	default:
	}
}

func (k *Membership) answerRecord(context.Context, string, json.RawMessage) (any, error) {
	return k.Record(), nil
}

// wait waits for span and reports whether ctx still stands.
func (k *Membership) wait(ctx context.Context, span dotterclock.Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.clock.After(span):
		return true
	}
}
