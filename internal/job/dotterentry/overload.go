package dotterentry

import (
	"context"
	"errors"
	"fmt"
	"maps"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterquota"
)

// capRetryAfter is what the caller of a job with a gang larger than its tenant's cap is told to
// wait. Only a version with a higher cap lets the job start, and when there will be one is not
// known: it is the longest delay that callers are told.
const capRetryAfter = 60 * dotterclock.Second

// OverloadError is the refusal of a job that certainly could not end in time, or never start. It
// is an ErrRefused.
type OverloadError struct {
	Reason     dotteradmission.Reason
	RetryAfter dotterclock.Millis // whole seconds
}

// Error implements error.
func (e *OverloadError) Error() string {
	switch e.Reason {
	case dotteradmission.TenantCap:
		return fmt.Sprintf("jobs: refused, the job could not end in time within its tenant's cap; retry in %d ms", e.RetryAfter)
	case dotteradmission.LargerThanCap:
		return fmt.Sprintf("jobs: refused, a gang of the job is larger than its tenant's cap; retry in %d ms", e.RetryAfter)
	}
	return fmt.Sprintf("jobs: refused, the job could not end in time behind those that wait; retry in %d ms", e.RetryAfter)
}

// Unwrap returns ErrRefused.
func (e *OverloadError) Unwrap() error {
	return ErrRefused
}

// Refusal identifies a count of refusals.
type Refusal struct {
	Queue  string
	Reason dotteradmission.Reason
}

// Refusals returns how many submissions this host has refused for overload, because of the cap of
// their tenant, or because a shard was full.
func (s *Service) Refusals() map[Refusal]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.refusals)
}

// admit returns an *OverloadError if the submission is refused under overload, or because the job
// could never start under the cap of its tenant, and ErrRefused if the owner of the shard may not hold
// it. A job that was accepted before is left to the submission itself, and a host that cannot tell
// whether it was does not refuse it.
func (s *Service) admit(ctx context.Context, shard string, j dotterjob.Job) error {
	limit, version := s.boards.TenantCap(j.Tenant)
	fits := dotterquota.FitsCap(limit, j)
	d := s.boards.Admission(j)
	full := s.isFull(shard, j)
	if fits && !d.Refused && !full || s.StoreUnavailable() {
		return nil
	}
	if _, _, err := s.readHome(ctx, j.ID); !errors.Is(err, ErrNoJob) {
		return nil
	}
	if full {
		s.refuseFull(shard, j)
		return eris.Wrap(ErrRefused, "the shard holds as many jobs as it may")
	}
	if !fits {
		s.mu.Lock()
		s.refusals[Refusal{Queue: j.Queue, Reason: dotteradmission.LargerThanCap}]++
		s.mu.Unlock()
		s.logger.Info("job refused, larger than cap", zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue), zap.String("Tenant", j.Tenant),
			zap.String("Reason", string(dotteradmission.LargerThanCap)), zap.Stringer("LargestGang", dotterquota.LargestGang(limit, j)), zap.Stringer("Cap", limit),
			zap.Int64("Version", version), zap.Int64("RetryAfterMs", int64(capRetryAfter)))
		return &OverloadError{Reason: dotteradmission.LargerThanCap, RetryAfter: capRetryAfter}
	}
	s.mu.Lock()
	retryAfter := s.retries.Next(s.clock.Now(), d)
	s.refusals[Refusal{Queue: j.Queue, Reason: d.Reason}]++
	s.mu.Unlock()
	s.logger.Info("job refused under overload", zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue), zap.String("Tenant", j.Tenant),
		zap.String("Reason", string(d.Reason)), zap.String("Shard", d.Shard), zap.Int64("OutlookAgeMs", int64(d.Age)),
		zap.Int64("WorkAhead", d.Work), zap.Int64("DrainPerS", d.Drain), zap.Int64("ExpectedWaitMs", int64(d.Wait)),
		zap.Int64("LatestStartMs", int64(d.Limit)), zap.Int64("ObjectiveMs", int64(d.Objective)), zap.Int64("RetryAfterMs", int64(retryAfter)))
	return &OverloadError{Reason: d.Reason, RetryAfter: retryAfter}
}
