package dottertasks

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// Service implements dotterelusher.Tasks on one entry host and runs the owners of
// the shards that this host has claimed.
type Service struct {
	options Options
	timing  Timing
	metrics *dotterowner.Metrics
	tomb    tomb.Tomb

	mu         sync.RWMutex
	owners     map[dottershard.Name]*ownership
	ownerHosts map[dottershard.Name]string // host that owns each shard, as last read from the store
	layouts    map[string]dottershard.Layout
	hostUse    map[string]dotterowner.PoolUse
	rotation   int // counter of the round robin in rotatedShards

	// The fields below are used only by the goroutine that runs loop.
	lease          dotterkey.LeaseID
	renewLeaseAt   dotterclock.Millis
	vacantSince    map[dottershard.Name]dotterclock.Millis
	misplacedSince map[dottershard.Name]dotterclock.Millis
	nextLayoutRead dotterclock.Millis
	nextUsePoll    dotterclock.Millis
	usePeerIndex   int
}

// ownership holds the owner of a shard of this host and the version of its owner key.
type ownership struct {
	owner   *dotterowner.Owner
	version dotterkey.Version
}

var _ dotterelusher.Tasks = (*Service)(nil)

// New returns a service and registers its methods with options.Peers, which must
// not have started yet. The service does nothing else until Start is called.
func New(options Options) *Service {
	s := &Service{
		options:        options,
		timing:         options.Timing,
		metrics:        dotterowner.NewMetrics(options.Registerer),
		owners:         make(map[dottershard.Name]*ownership),
		ownerHosts:     make(map[dottershard.Name]string),
		layouts:        make(map[string]dottershard.Layout),
		hostUse:        make(map[string]dotterowner.PoolUse),
		vacantSince:    make(map[dottershard.Name]dotterclock.Millis),
		misplacedSince: make(map[dottershard.Name]dotterclock.Millis),
	}
	s.registerHandlers()
	return s
}

// Start starts the loop that claims shards.
func (s *Service) Start() {
	s.tomb.Go(s.loop)
}

// Stop hands over every shard: it completes the shard's log and deletes the owner
// key, so that another host can claim the shard without waiting for the lease to
// expire. Attempts continue to run meanwhile.
func (s *Service) Stop() {
	s.tomb.Kill(nil)
	_ = s.tomb.Wait()
}

// writer returns the name of this process in owner keys and shard logs.
func (s *Service) writer() string {
	return fmt.Sprintf("%s/%d", s.options.Host, s.options.Incarnation)
}

// hostOf returns the host name in a writer's name.
func hostOf(writer string) string {
	cut := strings.LastIndexByte(writer, '/')
	if cut < 0 {
		return writer
	}
	return writer[:cut]
}

func (s *Service) loop() error {
	for {
		s.reconcile()
		select {
		case <-s.tomb.Dying():
			s.handOverAll()
			return nil
		case <-s.options.Clock.After(s.timing.ReconcileInterval):
		}
	}
}

// reconcile runs one pass: it renews the lease, refreshes what is known of the
// shards, claims vacant ones and hands over misplaced ones.
func (s *Service) reconcile() {
	ctx, cancel := context.WithTimeout(s.tomb.Context(context.Background()), s.timing.CallTimeout.Duration())
	defer cancel()
	now := s.options.Clock.Now()
	s.releaseDeposed(ctx)
	s.renewLease(ctx, now)
	s.refreshLayouts(ctx, now)
	s.refreshOwners(ctx)
	s.claimVacant(ctx, now)
	s.rebalance(ctx, now)
	s.refreshUse(ctx, now)
}

// localOwner returns the owner of shard if this host runs it.
func (s *Service) localOwner(shard dottershard.Name) (*dotterowner.Owner, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.owners[shard]
	if !ok {
		return nil, false
	}
	return o.owner, true
}

// ownedShards returns the shards that this host owns, sorted.
func (s *Service) ownedShards() []dottershard.Name {
	s.mu.RLock()
	defer s.mu.RUnlock()
	names := make([]dottershard.Name, 0, len(s.owners))
	for name := range s.owners {
		names = append(names, name)
	}
	sortNames(names)
	return names
}

// Shards returns the status of each shard that this host owns.
func (s *Service) Shards() []dotterelusher.ShardStatus {
	ctx, cancel := context.WithTimeout(context.Background(), s.timing.CallTimeout.Duration())
	defer cancel()
	var statuses []dotterelusher.ShardStatus
	for _, name := range s.ownedShards() {
		o, ok := s.localOwner(name)
		if !ok {
			continue
		}
		status, err := o.Status(ctx)
		if err != nil {
			continue
		}
		status.Owner = s.options.Host
		statuses = append(statuses, status)
	}
	return statuses
}

// Owned returns the names of the shards that this host owns, sorted.
func (s *Service) Owned() []string {
	names := s.ownedShards()
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = n.String()
	}
	return texts
}

// RetryAfter returns the time after which a refused submission should be repeated:
// the shortest that any of this host's shards gives, but at least RefusedRetry.
func (s *Service) RetryAfter() dotterclock.Millis {
	shortest := dotterclock.Millis(0)
	for _, name := range s.ownedShards() {
		owner, ok := s.localOwner(name)
		if !ok {
			continue
		}
		wait := owner.RetryAfter(context.Background())
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(shortest, s.timing.RefusedRetry)
}

func (s *Service) logger() *zap.Logger {
	return s.options.Logger
}
