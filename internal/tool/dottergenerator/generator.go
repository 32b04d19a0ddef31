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

// Bounds ends a run.
type Bounds struct {
	Millis      dotterclock.Millis // length of the run
	Requests    int64              // most requests over all streams
	Outstanding int64              // most requests without an answer at a time
	Seed        uint64             // of the arrivals
}

// Generator runs streams.
type Generator struct {
	bounds      Bounds
	recorder    *dotterreport.Recorder
	sent        atomic.Int64
	outstanding atomic.Int64
}

// New returns a generator that records with recorder.
func New(bounds Bounds, recorder *dotterreport.Recorder) *Generator {
	return &Generator{bounds: bounds, recorder: recorder}
}

// Run runs the streams to their end, or until ctx is cancelled, and waits for
// the last answers.
func (g *Generator) Run(ctx context.Context, streams ...Stream) error {
	life, ctx := tomb.WithContext(ctx)
	start := time.Now()
	life.Go(func() error {
		for i, s := range streams {
			arrivals := rand.New(rand.NewPCG(g.bounds.Seed, uint64(i)))
			life.Go(func() error {
				g.stream(ctx, s, start, arrivals)
				return nil
			})
		}
		return nil
	})
	err := life.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stream sends each request at the instant at which it is due.
func (g *Generator) stream(ctx context.Context, s Stream, start time.Time, arrivals *rand.Rand) {
	if s.PerSecond <= 0 {
		return
	}
	var sending sync.WaitGroup
	defer sending.Wait()
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
		at := due
		sending.Go(func() {
			defer g.outstanding.Add(-1)
			outcome := s.Send(ctx, number)
			g.recorder.Record(s.Kind, outcome, time.Since(at))
		})
	}
}

// sleepUntil reports whether the instant came before ctx ended.
func sleepUntil(ctx context.Context, instant time.Time) bool {
	span := time.Until(instant)
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
