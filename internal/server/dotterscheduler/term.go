package dotterscheduler

import (
	"context"
	"encoding/json"
	"errors"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterdispatch"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterentry"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterhead"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterreplica"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

const (
	// planSpan is the shortest time between two plans: what happens meanwhile is planned together.
	planSpan = 5 * dotterclock.Millisecond
	// planRest is the pause after a plan, in the time that it took.
	planRest = 3
	// commitSpan is the shortest time between two commits that somebody waits for.
	commitSpan = 12 * dotterclock.Millisecond
	// lazySpan is how long ends wait for a commit that is made anyway.
	lazySpan = 150 * dotterclock.Millisecond
	// syncSpan is how often sessions are compared with the workers.
	syncSpan = 400 * dotterclock.Millisecond
	// adviseSpan is how often it is looked whether a policy has to be asked.
	adviseSpan = 20 * dotterclock.Millisecond
	// adviceSpan bounds a question to a policy, which takes its time for each worker.
	adviceSpan = 2 * dotterclock.Second
	// learnedSpan is how often what was learned of images goes along with a commit: a
	// successor needs about ten seconds to learn it again.
	learnedSpan = 3 * dotterclock.Second
	// loadSpan bounds the reading of the shard's state by a new owner.
	loadSpan = 6 * dotterclock.Second
)

// term is the work of the owner of the shard.
type term struct {
	*Scheduler
}

// Own implements dotterhead.Owner.
func (t term) Own(ctx context.Context, chain *dotterhead.Chain) error {
	began := t.clock.Now()
	o := t.orders.Load()
	b := dotterboard.New(t.settings.Board, chain.Epoch(), began, chain.FormerUntil(), t.logger)
	b.Configure(o.document, o.out)
	planned, committed := b.Subscribe(), b.Subscribe()
	revision, err := t.load(ctx, b)
	if err != nil {
		t.logger.Error("the shard's state can't be read", zap.Int64("Epoch", chain.Epoch()), zap.Error(err))
		return nil // release it, so that another host may try
	}
	t.logger.Info("shard loaded", zap.Int64("Epoch", chain.Epoch()), zap.Int64("TookMs", int64(t.clock.Now()-began)), zap.Int("Jobs", b.Summary(began).Jobs))
	t.board.Store(b)
	defer t.board.Store(nil)
	if o := t.orders.Load(); o != nil { // a change that came while the board was not known
		b.Configure(o.document, o.out)
	}

	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	directory := dotterreplica.New(t.platform.Store, t.clock, t.logger, t.platform.DirectoryPrefix, watchSpan,
		t.platform.NewDirectorySink(func(workers map[string]dotterworker.Worker) { b.UpdateDirectory(t.clock.Now(), workers) }))
	inbox := dotterreplica.New(t.platform.Store, t.clock, t.logger, dotterentry.InboxPrefix, watchSpan, inboxSink{t, b})
	// Only the commits are waited for at the end. The others may be in a call that
	// lasts a while; what they still do goes to a board that nobody commits.
	go func() { _ = directory.Run(inner) }()
	go func() { _ = inbox.RunFrom(inner, revision) }()
	go t.plan(inner, b, planned)
	go t.advise(inner, b)
	go t.dispatch(inner, b, chain)
	return t.commit(inner, b, chain, committed)
}

// load takes in the shard's state from the store.
func (t term) load(ctx context.Context, b *dotterboard.Board) (dotterkey.Revision, error) {
	call, cancel := context.WithTimeout(ctx, loadSpan.Duration())
	defer cancel()
	inbox, revision, err := t.platform.Store.List(call, dotterentry.InboxPrefix)
	if err != nil {
		return 0, err
	}
	progress, _, err := t.platform.Store.List(call, dotterentry.ProgressPrefix)
	if err != nil {
		return 0, err
	}
	sink := inboxSink{t, b}
	sink.accept(inbox)
	for _, e := range progress {
		id := dotterentry.ParseProgressKey(e.Key)
		if err := b.Restore(t.clock.Now(), id, e.Value); err != nil {
			return 0, err
		}
	}
	sink.cancel(inbox)
	t.loadLearned(call, b)
	return revision, nil
}

// loadLearned takes over what the predecessor had learned. It can be learned again, so
// that the owner does without if it can't be read.
func (t term) loadLearned(ctx context.Context, b *dotterboard.Board) {
	learned, err := t.platform.Store.Get(ctx, dotterentry.LearnedKey)
	if err == nil {
		err = b.RestoreLearned(t.clock.Now(), learned.Value)
	}
	switch {
	case errors.Is(err, dotterelusher.ErrStoreNotFound): // this is the first owner
	case err != nil:
		t.logger.Warn("effects of images are learned anew", zap.Error(err))
	default:
		t.logger.Info("effects of images taken over", zap.Int("Bytes", len(learned.Value)), zap.Int64("Version", int64(learned.Version)))
	}
}

// plan plans whenever something has changed, and leaves the processor to orders and
// commits for longer the longer a plan takes.
func (t term) plan(ctx context.Context, b *dotterboard.Board, changed <-chan struct{}) {
	for {
		began := t.clock.Now()
		next := b.Plan(began, wall())
		select {
		case <-ctx.Done():
			return
		case <-t.clock.After(max(planSpan, planRest*(t.clock.Now()-began))):
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.clock.After(max(0, next-t.clock.Now())):
		}
	}
}

// advise asks the queues' policies, one question at a time as they answer them.
func (t term) advise(ctx context.Context, b *dotterboard.Board) {
	for ctx.Err() == nil {
		now := t.clock.Now()
		q, ok := b.Question(now, wall())
		if !ok || t.platform.Admission == nil {
			select {
			case <-ctx.Done():
			case <-t.clock.After(adviseSpan):
			}
			continue
		}
		call, cancel := context.WithTimeout(ctx, adviceSpan.Duration())
		advice, err := t.platform.Admission.Advise(call, q.Step, q.Workers)
		cancel()
		b.Advised(t.clock.Now(), now, q, advice, err)
	}
}

// commit writes the board's changes, and shows every beat that the owner lives.
func (t term) commit(ctx context.Context, b *dotterboard.Board, chain *dotterhead.Chain, changed <-chan struct{}) error {
	last := t.clock.Now()
	learnedAt := last
	for {
		now := t.clock.Now()
		due := last + dotterhead.BeatSpan
		switch {
		case b.Urgent():
			due = last + commitSpan
		case b.Dirty():
			due = last + lazySpan
		}
		if now < due {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			case <-t.clock.After(due - now):
			}
			continue
		}
		last = now
		var more []dotterkey.Entry
		if now-learnedAt >= learnedSpan {
			learnedAt = now
			more = t.learned(b)
		}
		if err := t.commitBatch(ctx, b, chain, more); err != nil {
			return err
		}
		if b.Deposed() {
			return dotterhead.ErrDeposed
		}
	}
}

// learned returns the entry that tells a successor what was learned of images.
func (t term) learned(b *dotterboard.Board) []dotterkey.Entry {
	value, err := b.Learned(t.clock.Now())
	if err != nil {
		t.logger.Error("what was learned can't be kept", zap.Error(err))
		return nil
	}
	return []dotterkey.Entry{{Key: dotterentry.LearnedKey, Value: value}}
}

// commitBatch writes a batch of the board's changes, and the entries along with it.
func (t term) commitBatch(ctx context.Context, b *dotterboard.Board, chain *dotterhead.Chain, puts []dotterkey.Entry) error {
	batch, err := b.Batch(dotterhead.MostEntries - len(puts))
	if err != nil {
		return err
	}
	for id, record := range batch.Records {
		puts = append(puts, dotterkey.Entry{Key: dotterentry.ProgressKey(id), Value: record})
	}
	var deletes []string
	for _, id := range batch.Expired {
		deletes = append(deletes, dotterentry.JobKey(id), dotterentry.CancelKey(id), dotterentry.ProgressKey(id))
	}
	err = chain.Commit(ctx, puts, deletes)
	if errors.Is(err, dotterhead.ErrStopped) && ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	b.Committed(batch)
	return nil
}

// dispatch keeps the sessions with the workers. The owner falls silent when the
// store has not confirmed it for longer than it may go on renewing leases.
func (t term) dispatch(ctx context.Context, b *dotterboard.Board, chain *dotterhead.Chain) {
	d := dotterdispatch.New(b, t.platform.Runs, t.clock, t.logger, chain.Current)
	for ctx.Err() == nil {
		d.Sync(ctx)
		select {
		case <-ctx.Done():
		case <-t.clock.After(syncSpan):
		}
	}
}

// inboxSink takes accepted jobs and cancellations into the board.
type inboxSink struct {
	term
	board *dotterboard.Board
}

// Reset implements dotterreplica.Sink.
func (s inboxSink) Reset(entries []dotterkey.Entry) {
	s.accept(entries)
	s.cancel(entries)
}

// Change implements dotterreplica.Sink.
func (s inboxSink) Change(changes dotterkey.Changes) {
	s.Reset(changes.Entries)
}

func (s inboxSink) accept(entries []dotterkey.Entry) {
	for _, e := range entries {
		id, cancel := dotterentry.ParseInboxKey(e.Key)
		if cancel {
			continue
		}
		var j dotterjob.Job
		if err := json.Unmarshal(e.Value, &j); err != nil {
			s.logger.Error("accepted job can't be read", zap.String("Job", string(id)), zap.Error(err))
			continue
		}
		s.board.Accept(s.clock.Now(), wall()-j.AcceptedAt, j)
	}
}

func (s inboxSink) cancel(entries []dotterkey.Entry) {
	for _, e := range entries {
		if id, cancel := dotterentry.ParseInboxKey(e.Key); cancel {
			s.board.Cancel(s.clock.Now(), id)
		}
	}
}
