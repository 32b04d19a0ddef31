package dottergenerator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/tool/dotterreport"
)

// Bounds limits a run and seeds its arrivals.
type Bounds struct {
	Millis      dotterclock.Millis // duration of the run
	Requests    int64              // maximum number of requests over all streams
	Outstanding int64              // maximum number of requests in flight
	Seed        uint64             // seed of the arrival times
}

// Generator runs streams and records the results.
type Generator struct {
	bounds      Bounds
	recorder    *dotterreport.Recorder
	sent        atomic.Int64
	outstanding atomic.Int64
}

// New returns a generator that records its results with recorder.
func New(bounds Bounds, recorder *dotterreport.Recorder) *Generator {
	return &Generator{bounds: bounds, recorder: recorder}
}

// Run runs the streams to their end, or until ctx is cancelled, and waits for
// the outstanding requests.
func (g *Generator) Run(ctx context.Context, streams ...Stream) error {
	t, ctx := tomb.WithContext(ctx)
	start := time.Now()
	t.Go(func() error {
		for i, s := range streams {
			arrivals := rand.New(rand.NewPCG(g.bounds.Seed, uint64(i)))
			t.Go(func() error {
				g.runStream(ctx, s, start, arrivals)
				return nil
			})
		}
		return nil
	})
	err := t.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// runStream sends each request when it is due; requests over the limit of outstanding
// ones are recorded as unsent.
func (g *Generator) runStream(ctx context.Context, s Stream, start time.Time, arrivals *rand.Rand) {
	if s.PerSecond <= 0 {
		return
	}
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	due := start
	end := start.Add(g.bounds.Millis.Duration())
	for number := 0; ; number++ {
		gap := arrivals.ExpFloat64() / s.PerSecond
		due = due.Add(time.Duration(gap * float64(time.Second)))
		if due.After(end) || !sleepUntil(ctx, due) {
			return
		}
		if g.sent.Add(1) > g.bounds.Requests {
			return
		}
		g.recorder.RecordLag(time.Since(due))
		if g.outstanding.Add(1) > g.bounds.Outstanding {
			g.outstanding.Add(-1)
			g.recorder.RecordUnsent()
			continue
		}
		scheduled := due
		inFlight.Go(func() {
			defer g.outstanding.Add(-1)
			outcome := s.Send(ctx, number)
			g.recorder.Record(s.Kind, outcome, time.Since(scheduled))
		})
	}
}

// sleepUntil waits until instant and returns true, or false if ctx ends first.
func sleepUntil(ctx context.Context, instant time.Time) bool {
	delay := time.Until(instant)
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
