package dottershardlog

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterledger"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

const testEnded = 6

// writer is an owner's log and ledger.
type writer struct {
	log     *Log
	ledger  *dotterledger.Ledger
	segment *dotterrecord.Segment // unresolved write, or nil
	records []dotterrecord.Record // of segment, without records of older segments
}

// machine is a rapid state machine that runs writers and store faults against the
// reference model.
type machine struct {
	store        *dottermemory.Store
	model        model
	current      *writer
	former       []*writer
	opened       int
	tasks        int
	now          dotterclock.Millis
	maybeDeposed bool // a failed Open may have deposed the current writer
}

func newMachine() *machine {
	return &machine{store: dottermemory.New(dotterclock.NewManual(0)), model: model{ended: testEnded}}
}

func (m *machine) options() Options {
	m.opened++
	return Options{Prefix: "segments/d/0/", Writer: fmt.Sprintf("w%d", m.opened), RingSize: 8, Ended: testEnded}
}

func (m *machine) open(t *rapid.T) {
	options := m.options()
	log, ledger, err := Open(context.Background(), m.store, options)
	if err != nil {
		require.NotErrorIs(t, err, ErrUnreadable)
		m.maybeDeposed = true
		return
	}
	m.maybeDeposed = false
	if m.current != nil {
		m.resolveFormer(t, ledger)
		m.former = append(m.former, m.current)
	}
	m.current = &writer{log: log, ledger: ledger}
}

// resolveFormer adds the former writer's unresolved records to the model if the
// ledger shows that their segment was written.
func (m *machine) resolveFormer(t *rapid.T, ledger *dotterledger.Ledger) {
	w := m.current
	if w.segment == nil {
		return
	}
	extended := model{records: append(append([]dotterrecord.Record(nil), m.model.records...), w.records...), ended: testEnded}
	if entriesEqual(extended.state(), ledger) && totalsEqual(extended.totals(), ledger) {
		m.model = extended
	}
}

func (m *machine) write(t *rapid.T) {
	w := m.current
	if w == nil {
		return
	}
	if w.segment == nil {
		w.records = m.randomRecords(t)
		segment := w.log.BuildSegment(w.ledger, w.records, 0)
		w.segment = &segment
	}
	err := w.log.Write(context.Background(), *w.segment)
	switch {
	case err == nil:
		w.log.Apply(w.ledger, *w.segment)
		m.model.records = append(m.model.records, w.records...)
		w.segment = nil
	case errors.Is(err, ErrIndeterminate), errors.Is(err, ErrUnavailable):
	case errors.Is(err, ErrDeposed) && m.maybeDeposed:
		m.former = append(m.former, w)
		m.current = nil
	default:
		t.Fatalf("the writer was deposed but no other writer claimed the log: %v", err)
	}
}

// formerWrites lets a deposed writer write; the write must fail unless its segment
// was written before the writer was deposed.
func (m *machine) formerWrites(t *rapid.T) {
	if len(m.former) == 0 {
		return
	}
	w := m.former[rapid.IntRange(0, len(m.former)-1).Draw(t, "former")]
	segment := w.segment
	if segment == nil {
		sealed := w.log.BuildSegment(w.ledger, []dotterrecord.Record{{Accepted: &dotterrecord.Entry{Task: dottertask.Task{ID: "d-0-999999"}}}}, 0)
		segment = &sealed
	}
	err := w.log.Write(context.Background(), *segment)
	if err == nil && w.segment == nil {
		t.Fatalf("a deposed writer wrote segment %d", segment.Number)
	}
	if err == nil {
		w.log.Apply(w.ledger, *segment) // it was written before the writer was deposed
		w.segment = nil
	}
}

func (m *machine) check(t *rapid.T) {
	if m.current == nil {
		return
	}
	require.True(t, entriesEqual(m.model.state(), m.current.ledger), "entries differ")
	require.True(t, totalsEqual(m.model.totals(), m.current.ledger), "totals differ")
}

func entriesEqual(want map[dottertask.ID]dotterrecord.Entry, got *dotterledger.Ledger) bool {
	if len(want) != got.Len() {
		return false
	}
	for id, e := range want {
		if g, ok := got.Entry(id); !ok || g != e {
			return false
		}
	}
	return true
}

func totalsEqual(want map[dotterrecord.TotalKey]dotterrecord.Total, got *dotterledger.Ledger) bool {
	if len(want) != len(got.Totals()) {
		return false
	}
	for key, total := range want {
		if got.Total(key) != total {
			return false
		}
	}
	return true
}

func (m *machine) randomRecords(t *rapid.T) []dotterrecord.Record {
	records := make([]dotterrecord.Record, rapid.IntRange(0, 4).Draw(t, "count"))
	for i := range records {
		records[i] = m.randomRecord(t)
	}
	return records
}

func (m *machine) randomRecord(t *rapid.T) dotterrecord.Record {
	m.now++
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	if m.tasks == 0 || kind < 3 {
		m.tasks++
		return dotterrecord.Record{Accepted: &dotterrecord.Entry{Task: dottertask.Task{
			ID: dottertask.ID(fmt.Sprintf("d-0-%d", m.tasks)), State: dottertask.StateQueued, SubmittedAt: m.now, Payload: "p",
		}}}
	}
	id := dottertask.ID(fmt.Sprintf("d-0-%d", rapid.IntRange(max(1, m.tasks-8), m.tasks).Draw(t, "task")))
	attempt := rapid.IntRange(0, 3).Draw(t, "attempt")
	target := rapid.SampledFrom([]string{"", "e-0"}).Draw(t, "target")
	switch kind {
	case 3, 4:
		return dotterrecord.Record{Reserved: &dotterrecord.Reserved{Task: id, Attempt: attempt, Worker: "w", Size: dotterroom.Room{MilliCores: 1}}}
	case 5, 6:
		state := rapid.SampledFrom([]dottertask.State{dottertask.StateQueued, dottertask.StateDone, dottertask.StateFailed}).Draw(t, "state")
		return dotterrecord.Record{Ended: &dotterrecord.Ended{Task: id, Attempt: attempt, State: state, Failed: attempt == 2, Checkpoint: target, At: m.now}}
	case 7:
		return dotterrecord.Record{Cancelled: &dotterrecord.Cancelled{Tasks: []dottertask.ID{id}, At: m.now}}
	case 8:
		return dotterrecord.Record{Offered: &dotterrecord.Offered{Tasks: []dottertask.ID{id}, Target: target, At: m.now}}
	}
	if attempt == 0 {
		return dotterrecord.Record{Total: &dotterrecord.Total{Team: target, CoreMillis: int64(m.now)}}
	}
	return dotterrecord.Record{Moved: &dotterrecord.Moved{Tasks: []dottertask.ID{id}, Target: "e-0", At: m.now}}
}

// A log opened after any sequence of writes, claims, lost answers, stale reads and
// outages must hold the entries and totals of the reference model, and a deposed
// writer must not write.
func TestLogMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"open":         m.open,
			"write":        m.write,
			"write more":   m.write,
			"write again":  m.write,
			"formerWrites": m.formerWrites,
			"outage":       func(t *rapid.T) { m.store.SetDown(rapid.Bool().Draw(t, "down")) },
			"lost answers": func(t *rapid.T) { m.store.LoseAnswers(rapid.IntRange(0, 2).Draw(t, "lost")) },
			"stale reads":  func(t *rapid.T) { m.store.SetStale(rapid.Bool().Draw(t, "stale")) },
			"":             m.check,
		})
		m.store.SetDown(false)
		m.store.LoseAnswers(0)
		m.store.SetStale(false)
		m.open(t)
		m.check(t)
	})
}

// A paused writer must stay deposed when the ring wraps and its next slot is
// overwritten by later segments.
func TestPausedWriterIsDeposedAfterRingWraps(t *testing.T) {
	ctx := context.Background()
	m := newMachine()
	paused, pausedLedger, err := Open(ctx, m.store, m.options())
	require.NoError(t, err)
	stale := paused.BuildSegment(pausedLedger, nil, 0)
	next, ledger, err := Open(ctx, m.store, m.options())
	require.NoError(t, err)
	for range 20 {
		segment := next.BuildSegment(ledger, nil, 0)
		require.NoError(t, next.Write(ctx, segment))
		next.Apply(ledger, segment)
		require.ErrorIs(t, paused.Write(ctx, stale), ErrDeposed)
	}
}

// Open must fail when it read a stale ring, and must not depose the current writer.
func TestClaimOnStaleReadFails(t *testing.T) {
	ctx := context.Background()
	m := newMachine()
	first, ledger, err := Open(ctx, m.store, m.options())
	require.NoError(t, err)
	m.store.SetStale(true)
	segment := first.BuildSegment(ledger, []dotterrecord.Record{{Accepted: &dotterrecord.Entry{Task: dottertask.Task{ID: "d-0-1"}}}}, 1)
	require.NoError(t, first.Write(ctx, segment))
	first.Apply(ledger, segment)
	_, _, err = Open(ctx, m.store, m.options())
	require.Error(t, err)
	m.store.SetStale(false)
	segment = first.BuildSegment(ledger, nil, 1)
	require.NoError(t, first.Write(ctx, segment))
}

// A write that took effect but whose answer was lost must succeed, because Write
// reads the key back.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	ctx := context.Background()
	m := newMachine()
	log, ledger, err := Open(ctx, m.store, m.options())
	require.NoError(t, err)
	m.store.LoseAnswers(1)
	segment := log.BuildSegment(ledger, nil, 0)
	require.NoError(t, log.Write(ctx, segment))
	log.Apply(ledger, segment)
	require.Equal(t, int64(2), log.newest)
}
