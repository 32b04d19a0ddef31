package dotterowner

import (
	"context"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

const (
	// maxForwardAttempts is the number of attempts to forward a cancellation.
	maxForwardAttempts = 10
	// forwardRetryInterval is the time between two attempts.
	forwardRetryInterval = dotterclock.Second
)

// forwardCancelOfOffered forwards to target the cancellations that were logged here
// while the tasks were being moved.
func (o *Owner) forwardCancelOfOffered(target string, ids []dottertask.ID) {
	var cancelled []dottertask.ID
	for _, id := range ids {
		if e, ok := o.ledger.Entry(id); ok && e.Cancelling {
			cancelled = append(cancelled, id)
		}
	}
	o.forwardCancel(target, cancelled)
}

// forwardCancelOfMoved forwards the cancellations of those tasks whose move was
// committed before the cancellation.
func (o *Owner) forwardCancelOfMoved(ids []dottertask.ID) {
	moved := make(map[string][]dottertask.ID)
	for _, id := range ids {
		if e, ok := o.ledger.Entry(id); ok && e.Task.State == dottertask.StateMoved {
			moved[e.Target] = append(moved[e.Target], id)
		}
	}
	for target, part := range moved {
		o.forwardCancel(target, part)
	}
}

func (o *Owner) forwardCancel(target string, ids []dottertask.ID) {
	if len(ids) == 0 {
		return
	}
	o.tomb.Go(func() error {
		for range maxForwardAttempts {
			err := o.tryForwardCancel(target, ids)
			if err == nil {
				return nil
			}
			o.logger.Warn("Cancellation not passed on", zap.String("Target", target), zap.Error(err))
			select {
			case <-o.tomb.Dying():
				return nil
			case <-o.options.Clock.After(forwardRetryInterval):
			}
		}
		return nil
	})
}

func (o *Owner) tryForwardCancel(target string, ids []dottertask.ID) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.limits.CallTimeout.Duration())
	defer cancel()
	return o.options.Handoff.Cancel(ctx, target, ids)
}
