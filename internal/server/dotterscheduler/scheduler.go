package dotterscheduler

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterentry"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterhead"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterlink"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterreplica"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterpartition"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
)

// watchWait is how long one watch call waits for a change. It is short, so that an
// unanswered watch is detected well within the time in which a configuration must be
// in force.
const watchWait = dotterclock.Second

// maxLoggedTenants bounds the tenants that are named in one log line.
const maxLoggedTenants = 20

// configuration holds the operators' configuration and the evacuated failure domains.
type configuration struct {
	document   dotterqueues.Document
	outDomains map[string]bool
}

// Scheduler runs an entry host's part of the scheduling of jobs.
type Scheduler struct {
	settings Settings
	platform Platform
	clock    dotterelusher.Clock
	logger   *zap.Logger
	tomb     tomb.Tomb

	configuration atomic.Pointer[configuration]
	partition     atomic.Pointer[dotterpartition.Partition] // nil until it is known
	operatorKeys  *dotterreplica.Replica
	elector       *dotterhead.Elector
	links         *dotterlink.Client
	server        *dotterlink.Server
	jobs          *dotterentry.Service
	stopping      atomic.Bool

	mu     sync.Mutex
	boards map[string]*dotterboard.Board // of the shards that this host owns
}

// New binds the link address and returns a scheduler that is not started yet.
func New(settings Settings, platform Platform, clock dotterelusher.Clock, logger *zap.Logger) (*Scheduler, error) {
	server, err := dotterlink.Listen(settings.LinkAddress, logger)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{server: server, settings: settings, platform: platform, clock: clock, logger: logger, links: dotterlink.NewClient(),
		boards: map[string]*dotterboard.Board{}}
	s.operatorKeys = dotterreplica.New(platform.Store, clock, logger, platform.OperatorPrefix, watchWait, platform.NewOperatorSink(s.configure))
	s.elector = dotterhead.New(platform.Store, clock, logger, dotterentry.HeadPrefix, dotterentry.TimestampPrefix, dotterhead.Candidate{
		Host: settings.Host, Address: server.Address(), FailureDomain: settings.FailureDomain, Weak: settings.Weak,
	})
	s.jobs = dotterentry.New(platform.Store, s.links, s.elector, clock, logger, s, s.operatorKeys)
	return s, nil
}

// Start starts the scheduler in the background. It runs until Leave and Stop are called.
func (s *Scheduler) Start() {
	ctx := s.tomb.Context(context.Background())
	s.server.Start(s.jobs.Methods())
	s.tomb.Go(func() error { return s.operatorKeys.Run(ctx) })
	s.tomb.Go(func() error {
		s.awaitConfiguration(ctx)
		p, ok := s.awaitPartition(ctx)
		if !ok {
			return nil
		}
		s.partition.Store(&p)
		s.elector.SetShards(p)
		s.elector.Run(ctx, func(shard string) dotterhead.Owner { return newShardOwner(s, shard) })
		return nil
	})
}

// awaitConfiguration waits for the first configuration. Without one, the host cannot
// schedule and must not take a shard over.
func (s *Scheduler) awaitConfiguration(ctx context.Context) {
	const pollInterval = 50 * dotterclock.Millisecond
	for s.configuration.Load() == nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.clock.After(pollInterval):
		}
	}
}

// Leave marks this host as not ready, stops its work as owner and releases its shards.
func (s *Scheduler) Leave() {
	s.stopping.Store(true)
	s.tomb.Kill(nil)
	if err := s.tomb.Wait(); err != nil {
		s.logger.Error("scheduler failed", zap.Error(err))
	}
}

// Stop closes all links. It must be called after Leave.
func (s *Scheduler) Stop() {
	s.links.Close()
	if err := s.server.Stop(); err != nil {
		s.logger.Warn("links not closed cleanly", zap.Error(err))
	}
}

// Jobs returns the service for callers' requests on this host.
func (s *Scheduler) Jobs() *dotterentry.Service {
	return s.jobs
}

// Configuration returns the configuration in force on this host. It returns false if
// there is none yet.
func (s *Scheduler) Configuration() (dotterqueues.Document, bool) {
	c := s.configuration.Load()
	if c == nil {
		return dotterqueues.Document{}, false
	}
	return c.document, true
}

// Ready reports whether callers should be sent to this host.
func (s *Scheduler) Ready() bool {
	return s.configuration.Load() != nil && s.partition.Load() != nil && !s.stopping.Load() && !s.jobs.StoreUnavailable()
}

// Summaries returns the summaries of the shards that this host owns, by shard.
func (s *Scheduler) Summaries() map[string]dotterboard.Summary {
	summaries := map[string]dotterboard.Summary{}
	for shard, b := range s.ownedBoards() {
		summaries[shard] = b.Summary(s.clock.Now())
	}
	return summaries
}

// Board implements dotterentry.Boards.
func (s *Scheduler) Board(shard string) *dotterboard.Board {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boards[shard]
}

// ownedBoards returns the boards of the shards that this host owns.
func (s *Scheduler) ownedBoards() map[string]*dotterboard.Board {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.boards)
}

// setBoard sets the board of a shard that this host owns; nil removes it.
func (s *Scheduler) setBoard(shard string, b *dotterboard.Board) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b == nil {
		delete(s.boards, shard)
		return
	}
	s.boards[shard] = b
}

// FreshAt returns the time up to which this host's configuration is known to be
// current, 0 if it never was.
func (s *Scheduler) FreshAt() dotterclock.Millis {
	return s.operatorKeys.FreshAt()
}

// configure puts a new configuration in force on this host.
func (s *Scheduler) configure(document dotterqueues.Document, outDomains map[string]bool) {
	previous := s.configuration.Swap(&configuration{document: document, outDomains: outDomains})
	if previous == nil || previous.document.Version != document.Version || !maps.Equal(previous.outDomains, outDomains) {
		fields := []zap.Field{zap.Int64("Version", document.Version), zap.Any("OutDomains", outDomains)}
		s.logger.Info("configuration in force", append(fields, tenantFields(previous, document)...)...)
	}
	for _, b := range s.ownedBoards() {
		b.Configure(document, outDomains)
	}
}

// tenantFields returns log fields that tell which tenants' keys a new configuration changes,
// without the keys; none if it has no tenants and had none.
func tenantFields(previous *configuration, document dotterqueues.Document) []zap.Field {
	if previous == nil {
		previous = &configuration{}
	}
	if !document.HasTenants() && !previous.document.HasTenants() {
		return nil
	}
	fields := []zap.Field{zap.Int("Tenants", len(document.Tenants()))}
	if changed := document.KeysChanged(previous.document); len(changed) > 0 {
		fields = append(fields, zap.Int("KeysChanged", len(changed)), zap.Strings("KeysChangedOf", changed[:min(maxLoggedTenants, len(changed))]))
	}
	return fields
}

// wallTime returns the time of day.
func wallTime() dotterclock.Millis {
	return dotterclock.Millis(time.Now().UnixMilli())
}
