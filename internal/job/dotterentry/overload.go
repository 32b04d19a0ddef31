package dotterentry

import (
	"context"
	"errors"
	"fmt"
	"maps"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotteradmission"
)

// OverloadError is the refusal of a job that certainly could not end in time. It is an
// ErrRefused.
type OverloadError struct {
	Reason     dotteradmission.Reason
	RetryAfter dotterclock.Millis // whole seconds
}

// Error implements error.
func (e *OverloadError) Error() string {
	if e.Reason == dotteradmission.TenantCap {
		return fmt.Sprintf("jobs: refused, the job could not end in time within its tenant's cap; retry in %d ms", e.RetryAfter)
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

// Refusals returns how many submissions this host has refused for overload.
func (s *Service) Refusals() map[Refusal]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.refusals)
}

// admit returns an *OverloadError if the submission is refused under overload. A job that was
// accepted before is left to the submission itself, and a host that cannot tell whether it was
// does not refuse it.
func (s *Service) admit(ctx context.Context, j dotterjob.Job) error {
	d := s.boards.Admission(j)
	if !d.Refused || s.StoreUnavailable() {
		return nil
	}
	if _, _, err := s.readHome(ctx, j.ID); !errors.Is(err, ErrNoJob) {
		return nil
	}
	s.mu.Lock()
	retryAfter := s.returns.Next(s.clock.Now(), d)
	s.refusals[Refusal{Queue: j.Queue, Reason: d.Reason}]++
	s.mu.Unlock()
	s.logger.Info("job refused under overload", zap.String("Job", string(j.ID)), zap.String("Queue", j.Queue), zap.String("Tenant", j.Tenant),
		zap.String("Reason", string(d.Reason)), zap.String("Shard", d.Shard), zap.Int64("OutlookAgeMs", int64(d.Age)),
		zap.Int64("WorkAhead", d.Work), zap.Int64("DrainPerS", d.Drain), zap.Int64("ExpectedWaitMs", int64(d.Wait)),
		zap.Int64("LatestStartMs", int64(d.Limit)), zap.Int64("ObjectiveMs", int64(d.Objective)), zap.Int64("RetryAfterMs", int64(retryAfter)))
	return &OverloadError{Reason: d.Reason, RetryAfter: retryAfter}
}
