package dotterstandstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"

	"goji.io"
	"goji.io/pat"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
	"github.com/dotterelusher/dotterelusher/internal/standin/dotterfault"
	"github.com/dotterelusher/dotterelusher/internal/standin/dottertruth"
)

// hangTimeout limits how long a call that gets no answer is kept open.
const hangTimeout = 30 * dotterclock.Second

// Server serves a key-value store over HTTP and injects faults.
type Server struct {
	store      *dottermemory.Store
	clock      dotterelusher.Clock
	recorder   *dottertruth.Recorder
	partitions *dotterfault.Partitions

	mu     sync.Mutex
	fault  dotterfault.Store
	random *rand.Rand
}

// operation executes one kind of call on the store.
type operation func(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error)

// New returns a server with an empty store. The seed determines which answers are
// lost under LoseProbability.
func New(clock dotterelusher.Clock, recorder *dottertruth.Recorder, partitions *dotterfault.Partitions, seed uint64) *Server {
	return &Server{
		store:      dottermemory.New(clock),
		clock:      clock,
		recorder:   recorder,
		partitions: partitions,
		random:     rand.New(rand.NewPCG(seed, 1)),
	}
}

// Register adds the store's routes to mux.
func (s *Server) Register(mux *goji.Mux) {
	s.register(mux, dotterwire.PathGet, "Get", false, s.get)
	s.register(mux, dotterwire.PathList, "List", false, s.list)
	s.register(mux, dotterwire.PathWatch, "Watch", false, s.watch)
	s.register(mux, dotterwire.PathPut, "Put", true, s.put)
	s.register(mux, dotterwire.PathDelete, "Delete", true, s.remove)
	s.register(mux, dotterwire.PathGrant, "Grant", true, s.grant)
	s.register(mux, dotterwire.PathRenew, "Renew", true, s.renew)
	s.register(mux, dotterwire.PathRevoke, "Revoke", true, s.revoke)
}

// SetFault replaces the store's faults.
func (s *Server) SetFault(fault dotterfault.Store) {
	s.mu.Lock()
	changedStale := fault.Stale != s.fault.Stale
	s.fault = fault
	s.mu.Unlock()
	if changedStale {
		s.store.SetStale(fault.Stale)
	}
	s.store.SetSilent(fault.SilentWatches)
	s.store.SetDown(fault.Outage != dotterfault.OutageNone)
}

// Fault returns the store's current faults.
func (s *Server) Fault() dotterfault.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *Server) register(mux *goji.Mux, path, kind string, writes bool, run operation) {
	mux.HandleFunc(pat.Post(path), func(w http.ResponseWriter, r *http.Request) {
		counting := &countingWriter{ResponseWriter: w}
		client := r.Header.Get(dotterwire.HeaderClient)
		defer func() { s.recorder.RecordCall(client, kind, r.ContentLength, counting.bytes) }()
		var call dotterwire.StoreCall
		if !dotterwire.Read(counting, r, &call) {
			return
		}
		if !s.applyFaults(counting, r, client) {
			return
		}
		answer, err := run(r.Context(), call)
		s.hangIfPartitioned(r, client)
		if writes && err == nil && s.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		s.reply(counting, answer, err)
	})
}

// applyFaults applies the faults that delay a call or prevent it from taking
// effect, and reports whether the call may proceed.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request, client string) bool {
	s.hangIfPartitioned(r, client)
	fault := s.Fault()
	if fault.DelayMillis > 0 {
		s.wait(r.Context(), fault.DelayMillis)
		fault = s.Fault()
	}
	switch fault.Outage {
	case dotterfault.OutageRefuse:
		dotterwire.Refuse(w, http.StatusServiceUnavailable)
		return false
	case dotterfault.OutageHang:
		s.hang(r.Context())
	case dotterfault.OutageDrop:
		panic(http.ErrAbortHandler)
	}
	return true
}

// hangIfPartitioned leaves the call unanswered if client is partitioned from the store.
func (s *Server) hangIfPartitioned(r *http.Request, client string) {
	if s.partitions.Store(client) {
		s.hang(r.Context())
	}
}

// hang blocks until the client disconnects or hangTimeout passes, and then aborts
// the connection without an answer.
func (s *Server) hang(ctx context.Context) {
	s.wait(ctx, hangTimeout)
	panic(http.ErrAbortHandler)
}

func (s *Server) wait(ctx context.Context, timeout dotterclock.Millis) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(timeout):
	}
}

func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		return true
	}
	return s.fault.LoseProbability > 0 && s.random.Float64() < s.fault.LoseProbability
}

func (s *Server) reply(w http.ResponseWriter, answer dotterwire.StoreAnswer, err error) {
	switch {
	case err == nil:
		dotterwire.Answer(w, answer)
	case errors.Is(err, dotterelusher.ErrStoreNotFound):
		dotterwire.Refuse(w, http.StatusNotFound)
	case errors.Is(err, dotterelusher.ErrStoreConflict):
		dotterwire.Refuse(w, http.StatusConflict)
	case errors.Is(err, dotterelusher.ErrStoreLeaseExpired):
		dotterwire.Refuse(w, http.StatusGone)
	default:
		dotterwire.Refuse(w, http.StatusServiceUnavailable)
	}
}
