package dotterboard

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// tickets are the admissions of workers to a step that a queue's policy has given.
type tickets struct {
	byWorker map[string]ticket
}

type ticket struct {
	code  string
	until dotterclock.Millis
	born  dotterclock.Millis // life of the worker that it holds for
}

// of returns the worker's ticket; empty: none.
func (t *tickets) of(w *worker) string {
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
	return ok && k.born == w.Born && k.until > now+startSpan
}

// drop forgets the worker's ticket.
func (t *tickets) drop(w *worker) {
	if t != nil {
		delete(t.byWorker, w.ID)
	}
}
