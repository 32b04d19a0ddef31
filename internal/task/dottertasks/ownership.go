package dottertasks

import (
	"context"
	"errors"

	"go.uber.org/zap"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterhost"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterowner"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershard"
)

// leaseRenewals is the number of renewals in the duration of a store lease.
const leaseRenewals = 3

// renewLease renews the store lease that the owner keys are attached to, and
// obtains a new lease if there is none.
func (s *Service) renewLease(ctx context.Context, now dotterclock.Millis) {
	if s.lease != "" && now < s.renewLeaseAt {
		return
	}
	if s.lease != "" {
		err := s.options.Store.Renew(ctx, s.lease)
		if errors.Is(err, dotterelusher.ErrStoreLeaseExpired) {
			s.lease = ""
		}
		if err == nil {
			s.renewLeaseAt = now + s.timing.StoreLeaseDuration/leaseRenewals
		}
	}
	if s.lease == "" {
		lease, err := s.options.Store.Grant(ctx, s.timing.StoreLeaseDuration)
		if err != nil {
			return
		}
		s.lease = lease
		s.renewLeaseAt = now + s.timing.StoreLeaseDuration/leaseRenewals
	}
}

// refreshOwners reads the owner keys and records which shards have no owner.
func (s *Service) refreshOwners(ctx context.Context) {
	entries, _, err := s.options.Store.List(ctx, dottershard.AllOwnersPrefix)
	if err != nil {
		return
	}
	now := s.options.Clock.Now()
	located := make(map[dottershard.Name]string, len(entries))
	for _, e := range entries {
		name, ok := dottershard.ParseOwnerKey(e.Key)
		if !ok || s.removeStaleKey(name, e) {
			continue
		}
		located[name] = hostOf(string(e.Value))
	}
	s.mu.Lock()
	s.ownerHosts = located
	s.mu.Unlock()
	for _, name := range s.allShards() {
		if _, ok := located[name]; ok {
			delete(s.vacantSince, name)
			continue
		}
		if _, noted := s.vacantSince[name]; !noted {
			s.vacantSince[name] = now
		}
	}
}

// removeStaleKey reports whether e is an owner key of this process for a shard that
// it does not own, and removes it. Such a key remains when the answer to its write
// was lost.
func (s *Service) removeStaleKey(name dottershard.Name, e dotterkey.Entry) bool {
	if _, local := s.localOwner(name); local || string(e.Value) != s.writer() {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.timing.CallTimeout.Duration())
	defer cancel()
	_ = s.options.Store.Delete(ctx, e.Key, e.Version)
	return true
}

// claimVacant claims the shards that have had no owner for at least claimDelay.
func (s *Service) claimVacant(ctx context.Context, now dotterclock.Millis) {
	if s.lease == "" || !s.running() {
		return
	}
	for _, name := range s.allShards() {
		since, vacant := s.vacantSince[name]
		if !vacant || now < since+s.claimDelay(name) {
			continue
		}
		s.claim(ctx, name)
	}
}

// running reports whether the service is not being stopped.
func (s *Service) running() bool {
	select {
	case <-s.tomb.Dying():
		return false
	default:
		return true
	}
}

// claimDelay returns how long this host waits before it claims a vacant shard, so
// that hosts that rank higher claim it first.
func (s *Service) claimDelay(name dottershard.Name) dotterclock.Millis {
	if _, local := s.localOwner(name); local {
		return 0
	}
	wait := dotterclock.Millis(0)
	if name.FailureDomain != s.options.FailureDomain {
		wait = s.timing.DomainDelay
	}
	for i, host := range dottershard.RankHosts(name, s.candidates(name)) {
		if host == s.options.Host {
			return wait + dotterclock.Millis(i)*s.timing.RankDelay
		}
	}
	return wait
}

// candidates returns the hosts among which the owner of the shard is ranked: the
// live hosts of the shard's failure domain if this host is in it, otherwise those
// of this host's own domain.
func (s *Service) candidates(name dottershard.Name) []string {
	domain := name.FailureDomain
	if domain != s.options.FailureDomain {
		domain = s.options.FailureDomain
	}
	hosts := []string{s.options.Host}
	for _, p := range s.options.Peers.Live() {
		if p.FailureDomain == domain && !p.Leaving {
			hosts = append(hosts, p.Name)
		}
	}
	return hosts
}

// claim writes the owner key and then opens the shard's log. If this host still
// runs the shard's owner, it only writes the key again.
func (s *Service) claim(ctx context.Context, name dottershard.Name) {
	version, err := s.options.Store.Put(ctx, name.OwnerKey(), []byte(s.writer()), 0, s.lease)
	if errors.Is(err, dotterelusher.ErrStoreIndeterminate) {
		entry, readErr := s.options.Store.Get(ctx, name.OwnerKey())
		if readErr != nil || string(entry.Value) != s.writer() {
			return
		}
		version, err = entry.Version, nil
	}
	if err != nil {
		return
	}
	delete(s.vacantSince, name)
	if s.updateOwnerVersion(name, version) {
		return
	}
	owner, err := dotterowner.Open(ctx, s.ownerOptions(name))
	if err != nil {
		s.logger().Warn("Cannot open shard", zap.String("Shard", name.String()), zap.Error(err))
		_ = s.options.Store.Delete(ctx, name.OwnerKey(), version)
		return
	}
	s.mu.Lock()
	s.owners[name] = &ownership{owner: owner, version: version}
	s.ownerHosts[name] = s.options.Host
	s.mu.Unlock()
}

// updateOwnerVersion stores the version of the owner key if this host runs the
// shard's owner, and reports whether it does.
func (s *Service) updateOwnerVersion(name dottershard.Name, version dotterkey.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owners[name]
	if ok {
		o.version = version
	}
	return ok
}

func (s *Service) ownerOptions(name dottershard.Name) dotterowner.Options {
	return dotterowner.Options{
		Shard:         name,
		Writer:        s.writer(),
		Store:         s.options.Store,
		Clock:         s.options.Clock,
		Configuration: s.options.Configuration,
		Directory:     s.options.Directory,
		Workers:       s.options.Workers,
		Placer:        s.options.NewPlacer(),
		Handoff:       handoff{s},
		OwnsWorker:    func(worker dotterhost.Host) bool { return s.ownsWorker(name, worker) },
		PoolUse:       s.poolUse,
		Logger:        s.options.Logger,
		Metrics:       s.metrics,
		Limits:        s.options.Limits,
	}
}

// releaseDeposed releases the shards whose owner on this host was deposed.
func (s *Service) releaseDeposed(ctx context.Context) {
	for _, name := range s.ownedShards() {
		owner, _ := s.localOwner(name)
		select {
		case <-owner.Dead():
			s.release(ctx, name)
		default:
		}
	}
}

// release removes the shard's owner from this host, and its owner key unless the
// key has been written since.
func (s *Service) release(ctx context.Context, name dottershard.Name) {
	s.mu.Lock()
	o, ok := s.owners[name]
	delete(s.owners, name)
	s.mu.Unlock()
	if ok {
		_ = s.options.Store.Delete(ctx, name.OwnerKey(), o.version)
	}
}
