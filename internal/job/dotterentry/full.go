package dotterentry

import (
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
)

// shardFull is the reason of a refusal because a shard's owner holds as many jobs as it may.
const shardFull dotteradmission.Reason = "ShardFull"

const (
	// smallFootprint is the footprint up to which a job is small, bytes. Part of an owner's memory for jobs is
	// reserved for small ones.
	smallFootprint = 16 << 10
	// reservedDivisor divides that memory: the quotient is reserved.
	reservedDivisor = 4
	// maxFullLines is how many refusals are logged a second. All are counted.
	maxFullLines = 20
	// assumedHosts is how many hosts a host takes to accept as much as it does itself, between two
	// publications of an owner.
	assumedHosts = 4
)

// acceptances is what this host has accepted for a shard since its owner last published what it holds.
type acceptances struct {
	seenAt dotterclock.Millis
	bytes  int64
}

// heldBy returns how much memory the jobs of the shard hold at its owner, and how much they may hold; 0
// is no limit, or not known.
func (s *Service) heldBy(shard string) (held, limit int64) {
	if b := s.boards.Board(shard); b != nil {
		return b.Held()
	}
	owner, _ := s.elector.Owner(shard)
	return owner.Vacancy.Held, owner.Vacancy.MaxHeld
}

// isFull reports whether the owner of the shard holds so many jobs that it may not hold this one too.
func (s *Service) isFull(shard string, j dotterjob.Job) bool {
	held, limit := s.heldBy(shard)
	if limit == 0 {
		return false
	}
	footprint := j.Footprint()
	if footprint > smallFootprint {
		limit -= limit / reservedDivisor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return held+assumedHosts*s.acceptedSince(shard).bytes+footprint > limit
}

// noteAccepted counts a job that this host has accepted for the shard.
func (s *Service) noteAccepted(shard string, j dotterjob.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.acceptedSince(shard)
	a.bytes += j.Footprint()
	s.accepted[shard] = a
}

// acceptedSince returns what was accepted for the shard since the last publication. The caller must hold s.mu.
func (s *Service) acceptedSince(shard string) acceptances {
	a := s.accepted[shard]
	if seenAt := s.elector.SeenAt(shard); a.seenAt != seenAt {
		return acceptances{seenAt: seenAt}
	}
	return a
}

// refuseFull counts the refusal, and logs it if few were logged lately, of a job that the owner of the shard may not hold.
func (s *Service) refuseFull(shard string, j dotterjob.Job) {
	s.mu.Lock()
	s.refusals[Refusal{Queue: j.Queue, Reason: shardFull}]++
	since := s.acceptedSince(shard)
	s.mu.Unlock()
	if !s.fullLines.Allow() {
		return
	}
	owner, _ := s.elector.Owner(shard)
	held, limit := s.heldBy(shard)
	s.logger.Info("job refused, shard full", zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue), zap.String("Tenant", j.Tenant),
		zap.String("Reason", string(shardFull)), zap.String("Shard", shard), zap.String("Owner", owner.Host), zap.Int64("HeldBytes", held),
		zap.Int64("MaxHeldBytes", limit), zap.Int64("AcceptedBytes", since.bytes), zap.Int64("FootprintBytes", j.Footprint()),
		zap.Int64("SeenMsAgo", int64(s.clock.Now()-since.seenAt)))
}
