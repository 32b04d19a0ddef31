package dotterstandworker

import (
	"context"
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
)

// hangSpan bounds how long a command without an answer is held.
const hangSpan = 30 * dotterclock.Second

func (w *Worker) routes() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(dotterwire.PathStart), handler(w, w.startMaybeTwice))
	mux.HandleFunc(pat.Post(dotterwire.PathRenewal), handler(w, w.Renew))
	mux.HandleFunc(pat.Post(dotterwire.PathCheckpoint), handler(w, w.Checkpoint))
	mux.HandleFunc(pat.Post(dotterwire.PathThrottle), handler(w, w.Throttle))
	mux.HandleFunc(pat.Post(dotterwire.PathStop), handler(w, w.Stop))
	mux.HandleFunc(pat.Post(dotterwire.PathInventory), handler(w, func(call dotterwire.InventoryCall) dotterattempt.Report {
		return w.Inventory(call.Shard, call.Epoch)
	}))
	return mux
}

// handler serves one kind of command under the worker's faults. A command that
// was taken is carried out also when its sender is gone.
func handler[C any](w *Worker, run func(C) dotterattempt.Report) http.HandlerFunc {
	return func(writer http.ResponseWriter, r *http.Request) {
		var command C
		if !dotterwire.Read(writer, r, &command) {
			return
		}
		client := r.Header.Get(dotterwire.HeaderClient)
		w.abortIfUnreachable(r.Context(), client)
		w.gate.Wait(context.Background())
		time.Sleep(w.currentFault().DelayMillis.Duration())
		report := run(command)
		w.abortIfUnreachable(r.Context(), client)
		if w.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		dotterwire.Answer(writer, report)
	}
}

// startMaybeTwice starts an attempt, and once more later when that fault is on.
func (w *Worker) startMaybeTwice(start dotterattempt.Start) dotterattempt.Report {
	if span := w.currentFault().DuplicateMillis; span > 0 {
		time.AfterFunc(span.Duration(), func() { w.Start(start) })
	}
	return w.Start(start)
}

// abortIfUnreachable never answers while the worker, or its client, is cut off.
func (w *Worker) abortIfUnreachable(ctx context.Context, client string) {
	if !w.currentFault().CutOff && !w.cuts.Worker(client, w.host.FailureDomain) {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.clock.After(hangSpan):
	}
	panic(http.ErrAbortHandler)
}

func (w *Worker) currentFault() dotterfault.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

func (w *Worker) loseAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.LoseAnswers == 0 {
		return false
	}
	w.fault.LoseAnswers--
	return true
}
