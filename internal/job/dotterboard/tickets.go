package dotterboard

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

const (
	// askedWorkers is how many workers one question names: the answer takes longer with
	// each, and the platform counts on about thirty a step.
	askedWorkers = 30
	// askAgain is when a question without an answer is repeated.
	askAgain = 500 * dotterclock.Millisecond
)

// tickets are the admissions of workers to a step that a queue's policy has given.
type tickets struct {
	byWorker map[string]ticket
	refused  map[string]bool    // workers that may not run the step; that does not change
	askedAt  dotterclock.Millis // of the question on its way; 0: none
}

type ticket struct {
	code  string
	until dotterclock.Millis
	born  dotterclock.Millis // life of the worker that it holds for
}

// codeFor returns the worker's ticket; empty: none.
func (t *tickets) codeFor(w *worker) string {
	if t == nil {
		return ""
	}
	return t.byWorker[w.ID].code
}

// valid reports whether the worker is admitted.
func (t *tickets) valid(now dotterclock.Millis, w *worker) bool {
	if t == nil {
		return false
	}
	k, ok := t.byWorker[w.ID]
	return ok && k.born == w.Born && k.until > now
}

// drop forgets the worker's ticket.
func (t *tickets) drop(w *worker) {
	if t != nil {
		delete(t.byWorker, w.ID)
	}
}

// Question asks which workers may run a step.
type Question struct {
	Step    dotterrun.StepRef
	Workers []string
	step    *step
}

// Question returns the next question for the policy of a queue, or false if there is none.
func (b *Board) Question(now, wall dotterclock.Millis) (Question, bool) {
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
				if q, ok := b.questionOf(now, s); ok {
					return q, true
				}
			}
		}
	}
	return Question{}, false
}

// questionOf returns a question on the workers with the most room of which nothing is known.
func (b *Board) questionOf(now dotterclock.Millis, s *step) (Question, bool) {
	if s.tickets == nil {
		s.tickets = &tickets{byWorker: map[string]ticket{}, refused: map[string]bool{}}
	}
	t := s.tickets
	if t.askedAt != 0 && now-t.askedAt < askAgain {
		return Question{}, false
	}
	var unknown []*worker
	room := 0 // tasks that fit on admitted workers
	for _, w := range b.workersByID {
		if !b.mayStart(now, w, s) || !s.Reserved().Fits(w.free()) {
			continue
		}
		switch {
		case t.valid(now, w):
			room++
		case !t.refused[w.ID]:
			unknown = append(unknown, w)
		}
	}
	if room >= s.waiting || len(unknown) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(unknown, func(a, b *worker) int { return cmp.Compare(b.free().MilliCores, a.free().MilliCores) })
	q := Question{step: s, Step: dotterrun.StepRef{Job: s.occurrence.job.ID, Occurrence: s.occurrence.number, Step: s.number}}
	for _, w := range unknown[:min(len(unknown), askedWorkers)] {
		q.Workers = append(q.Workers, w.ID)
	}
	t.askedAt = now
	return q, true
}

// Advised takes in the answer to a question that was asked at askedAt, or the error in its place.
func (b *Board) Advised(now, askedAt dotterclock.Millis, q Question, advice dotterrun.Advice, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := q.step.tickets
	if err != nil {
		b.logger.Warn("no advice on a step", zap.String("Job", string(q.Step.Job)), zap.Int("Step", q.Step.Step), zap.Error(err))
		return // askAgain after the question
	}
	t.askedAt = 0
	for _, id := range q.Workers {
		code, good := advice.Tickets[id]
		w, ok := b.workers[id]
		switch {
		case !good:
			t.refused[id] = true
		case ok:
			t.byWorker[id] = ticket{code: code, until: askedAt + advice.Valid, born: w.Born}
		}
	}
	b.notify()
}
