package dotterscheduler

import (
	"context"
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
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
)

// watchSpan is how long a watch waits for a change. It is short, so that a watch
// that hears nothing is noticed well within the time that a configuration has.
const watchSpan = dotterclock.Second

// orders is what operators have ordered.
type orders struct {
	document dotterqueues.Document
	out      map[string]bool
}

// Scheduler is what one entry host runs.
type Scheduler struct {
	settings Settings
	platform Platform
	clock    dotterelusher.Clock
	logger   *zap.Logger
	tomb     tomb.Tomb

	orders   atomic.Pointer[orders]
	operator *dotterreplica.Replica
	keeper   *dotterhead.Elector
	links    *dotterlink.Client
	server   *dotterlink.Server
	jobs     *dotterentry.Service
	board    atomic.Pointer[dotterboard.Board]
	stopping atomic.Bool
}

// New binds the address for links and returns a scheduler that has not started.
func New(settings Settings, platform Platform, clock dotterelusher.Clock, logger *zap.Logger) (*Scheduler, error) {
	server, err := dotterlink.Listen(settings.LinkAddress, logger)
	if err != nil {
		return nil, err
	}
	s := &Scheduler{server: server, settings: settings, platform: platform, clock: clock, logger: logger, links: dotterlink.NewClient()}
	s.operator = dotterreplica.New(platform.Store, clock, logger, platform.OperatorPrefix, watchSpan, platform.NewOperatorSink(s.configure))
	s.keeper = dotterhead.New(platform.Store, clock, logger, dotterentry.HeadKey, settings.Host, server.Address(), settings.Weak)
	s.jobs = dotterentry.New(platform.Store, s.links, s.keeper, clock, logger, s.board.Load, s.operator.FreshAt)
	return s, nil
}

// Start runs the scheduler until Stop.
func (s *Scheduler) Start() {
	ctx := s.tomb.Context(context.Background())
	s.server.Start(s.jobs.Methods())
	s.tomb.Go(func() error { return s.operator.Run(ctx) })
	s.tomb.Go(func() error {
		s.awaitConfiguration(ctx)
		s.keeper.Run(ctx, term{s})
		return nil
	})
}

// awaitConfiguration waits for the first configuration: without one there is nothing to own.
func (s *Scheduler) awaitConfiguration(ctx context.Context) {
	const pause = 50 * dotterclock.Millisecond
	for s.orders.Load() == nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.clock.After(pause):
		}
	}
}

// Leave makes the host hand the shard over and report that it is not ready.
func (s *Scheduler) Leave() {
	s.stopping.Store(true)
	s.tomb.Kill(nil)
	if err := s.tomb.Wait(); err != nil {
		s.logger.Error("scheduler ended with an error", zap.Error(err))
	}
}

// Stop closes the links; Leave comes first.
func (s *Scheduler) Stop() {
	s.links.Close()
	if err := s.server.Stop(); err != nil {
		s.logger.Warn("links not closed cleanly", zap.Error(err))
	}
}

// Jobs returns the service that accepts jobs on this host.
func (s *Scheduler) Jobs() *dotterentry.Service {
	return s.jobs
}

// Configuration returns the configuration in force here, or false before there is one.
func (s *Scheduler) Configuration() (dotterqueues.Document, bool) {
	o := s.orders.Load()
	if o == nil {
		return dotterqueues.Document{}, false
	}
	return o.document, true
}

// Ready reports whether callers should be sent to this host.
func (s *Scheduler) Ready() bool {
	return s.orders.Load() != nil && !s.stopping.Load() && !s.jobs.StoreUnavailable()
}

// Summary returns the counters of the shard while this host owns it.
func (s *Scheduler) Summary() (dotterboard.Summary, bool) {
	b := s.board.Load()
	if b == nil {
		return dotterboard.Summary{}, false
	}
	return b.Summary(s.clock.Now()), true
}

// FreshAt returns when the store last answered this host's watch of the configuration.
func (s *Scheduler) FreshAt() dotterclock.Millis {
	return s.operator.FreshAt()
}

func (s *Scheduler) configure(document dotterqueues.Document, out map[string]bool) {
	former := s.orders.Swap(&orders{document: document, out: out})
	if former == nil || former.document.Version != document.Version || len(former.out) != len(out) {
		s.logger.Info("configuration in force", zap.Int64("Version", document.Version), zap.Any("OutDomains", out))
	}
	if b := s.board.Load(); b != nil {
		b.Configure(document, out)
	}
}

// wall returns the time of day.
func wall() dotterclock.Millis {
	return dotterclock.Millis(time.Now().UnixMilli())
}
