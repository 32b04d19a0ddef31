package dotterboard

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

const (
	// maxWorkersPerRequest is the most workers that one request names: each one adds to
	// the time of the answer, and the platform expects about thirty per step.
	maxWorkersPerRequest = 30
	// adviceRetryDelay is the delay after which an unanswered request is repeated.
	adviceRetryDelay = 500 * dotterclock.Millisecond
)

// tickets holds the admission policy's decisions on the workers that may run a step.
type tickets struct {
	byWorker map[string]ticket
	refused  map[string]bool    // workers that may not run the step; this is final
	askedAt  dotterclock.Millis // when the pending request was sent; 0: none is pending
}

// ticket admits one worker to a step.
type ticket struct {
	code            string
	until           dotterclock.Millis
	workerStartedAt dotterclock.Millis // StartedAt of the worker incarnation for which it is valid
}

// codeFor returns the code of the worker's ticket, empty if it has none.
func (t *tickets) codeFor(w *worker) string {
	if t == nil {
		return ""
	}
	return t.byWorker[w.ID].code
}

// valid reports whether the worker holds a valid ticket.
func (t *tickets) valid(now dotterclock.Millis, w *worker) bool {
	if t == nil {
		return false
	}
	k, ok := t.byWorker[w.ID]
	return ok && k.workerStartedAt == w.StartedAt && k.until > now
}

// drop removes the worker's ticket.
func (t *tickets) drop(w *worker) {
	if t != nil {
		delete(t.byWorker, w.ID)
	}
}

// AdviceRequest asks the admission policy which of the workers may run a step.
type AdviceRequest struct {
	Step    dotterrun.StepRef
	Workers []string
	step    *step
}

// NextAdviceRequest returns the next request to the admission policy, or false if there is
// none.
func (b *Board) NextAdviceRequest(now, wall dotterclock.Millis) (AdviceRequest, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.open {
		if j.queue.Advice == nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.waiting == 0 || !s.ready(wall) {
					continue
				}
				if q, ok := b.newAdviceRequest(now, s); ok {
					return q, true
				}
			}
		}
	}
	return AdviceRequest{}, false
}

// newAdviceRequest returns a request about the undecided workers with the most free
// processor time, or false if none is needed now.
func (b *Board) newAdviceRequest(now dotterclock.Millis, s *step) (AdviceRequest, bool) {
	if s.tickets == nil {
		s.tickets = &tickets{byWorker: map[string]ticket{}, refused: map[string]bool{}}
	}
	t := s.tickets
	if t.askedAt != 0 && now-t.askedAt < adviceRetryDelay {
		return AdviceRequest{}, false
	}
	var undecided []*worker
	admitted := 0 // workers with a ticket that take a task
	for _, w := range b.workersByID {
		if !b.mayStart(now, w, s) || !s.Reserved().Fits(w.free()) {
			continue
		}
		switch {
		case t.valid(now, w):
			admitted++
		case !t.refused[w.ID]:
			undecided = append(undecided, w)
		}
	}
	if admitted >= s.waiting || len(undecided) == 0 {
		return AdviceRequest{}, false
	}
	slices.SortStableFunc(undecided, func(a, b *worker) int { return cmp.Compare(b.free().MilliCores, a.free().MilliCores) })
	q := AdviceRequest{step: s, Step: dotterrun.StepRef{Job: s.occurrence.job.ID, Occurrence: s.occurrence.number, Step: s.number}}
	for _, w := range undecided[:min(len(undecided), maxWorkersPerRequest)] {
		q.Workers = append(q.Workers, w.ID)
	}
	t.askedAt = now
	return q, true
}

// HandleAdvice processes the answer to a request that was sent at askedAt, or the error
// that occurred instead.
func (b *Board) HandleAdvice(now, askedAt dotterclock.Millis, q AdviceRequest, advice dotterrun.Advice, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := q.step.tickets
	if err != nil {
		b.logger.Warn("admission request failed", zap.String("Job", string(q.Step.Job)), zap.Int("Step", q.Step.Step), zap.Error(err))
		return // the request is repeated after adviceRetryDelay
	}
	t.askedAt = 0
	for _, id := range q.Workers {
		code, admitted := advice.Tickets[id]
		w, ok := b.workers[id]
		switch {
		case !admitted:
			t.refused[id] = true
		case ok:
			t.byWorker[id] = ticket{code: code, until: askedAt + advice.Valid, workerStartedAt: w.StartedAt}
		}
	}
	b.notify()
}
