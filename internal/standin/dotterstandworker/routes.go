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

// hangTimeout limits how long a command that gets no answer is kept open.
const hangTimeout = 30 * dotterclock.Second

func (w *Worker) routes() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(dotterwire.PathStart), handler(w, w.startWithDuplicate))
	mux.HandleFunc(pat.Post(dotterwire.PathRenewal), handler(w, w.Renew))
	mux.HandleFunc(pat.Post(dotterwire.PathCheckpoint), handler(w, w.Checkpoint))
	mux.HandleFunc(pat.Post(dotterwire.PathThrottle), handler(w, w.Throttle))
	mux.HandleFunc(pat.Post(dotterwire.PathStop), handler(w, w.Stop))
	mux.HandleFunc(pat.Post(dotterwire.PathInventory), handler(w, func(call dotterwire.InventoryCall) dotterattempt.Report {
		return w.Inventory(call.Shard, call.Epoch)
	}))
	return mux
}

// handler returns a handler for one kind of command that applies the worker's
// faults. A command that was received is executed even if its sender disconnects.
func handler[C any](w *Worker, run func(C) dotterattempt.Report) http.HandlerFunc {
	return func(writer http.ResponseWriter, r *http.Request) {
		var command C
		if !dotterwire.Read(writer, r, &command) {
			return
		}
		client := r.Header.Get(dotterwire.HeaderClient)
		w.hangIfUnreachable(r.Context(), client)
		w.gate.Wait(context.Background())
		time.Sleep(w.currentFault().DelayMillis.Duration())
		report := run(command)
		w.hangIfUnreachable(r.Context(), client)
		if w.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		dotterwire.Answer(writer, report)
	}
}

// startWithDuplicate starts an attempt, and delivers the start again after
// DuplicateMillis if that fault is set.
func (w *Worker) startWithDuplicate(start dotterattempt.Start) dotterattempt.Report {
	if duration := w.currentFault().DuplicateMillis; duration > 0 {
		time.AfterFunc(duration.Duration(), func() { w.Start(start) })
	}
	return w.Start(start)
}

// hangIfUnreachable leaves the command unanswered if the worker is cut off or client
// is partitioned from it.
func (w *Worker) hangIfUnreachable(ctx context.Context, client string) {
	if !w.currentFault().CutOff && !w.partitions.Worker(client, w.host.FailureDomain) {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.clock.After(hangTimeout):
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
