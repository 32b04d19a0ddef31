package dotterscheduler

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterpanic"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterdispatch"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterentry"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterhead"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterreplica"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterpartition"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

const (
	// minPlanInterval is the minimum time between two plans. Changes in between are
	// planned together.
	minPlanInterval = 5 * dotterclock.Millisecond
	// planPauseFactor is the ratio of the pause after a plan to the duration of the plan.
	planPauseFactor = 3
	// urgentCommitInterval is the minimum time between commits while urgent changes are pending.
	urgentCommitInterval = 12 * dotterclock.Millisecond
	// commitInterval is the minimum time between commits while only other changes, such
	// as ends of runs, are pending.
	commitInterval = 150 * dotterclock.Millisecond
	// publishInterval is how often what the head publishes is brought up to date.
	publishInterval = 200 * dotterclock.Millisecond
	// syncInterval is how often the sessions are matched with the known workers.
	syncInterval = 400 * dotterclock.Millisecond
	// advicePollInterval is how often the board is polled for requests to admission policies.
	advicePollInterval = 20 * dotterclock.Millisecond
	// adviceTimeout bounds one request to an admission policy, whose answer takes longer
	// the more workers it covers.
	adviceTimeout = 2 * dotterclock.Second
	// learnedSaveInterval is how often the interference model is saved with a commit. A
	// successor without it needs about ten seconds to learn it again.
	learnedSaveInterval = 3 * dotterclock.Second
	// learnedShareInterval replaces learnedSaveInterval if there are several shards. It is
	// also how often the owners read each other's models.
	learnedShareInterval = 1500 * dotterclock.Millisecond
	// maxCommitsPerSecond bounds the commits of all owners together.
	maxCommitsPerSecond = 200
	// directoryPause is the pause between two readings of changes of the directory, which
	// takes changes in quick succession together.
	directoryPause = 200 * dotterclock.Millisecond
	// minLoadTimeout bounds the first attempt of a new owner to read the shard's state. It doubles
	// with each further one, up to maxLoadTimeout.
	minLoadTimeout = 1500 * dotterclock.Millisecond
	maxLoadTimeout = 6 * dotterclock.Second
	// loadRetryDelay is the delay before a new owner reads the shard's state once more.
	loadRetryDelay = 150 * dotterclock.Millisecond
)

// shardOwner does the work of a shard's owner.
type shardOwner struct {
	*Scheduler
	shard  string
	logger *zap.Logger // names the shard
}

func newShardOwner(s *Scheduler, shard string) shardOwner {
	return shardOwner{Scheduler: s, shard: shard, logger: s.logger.With(zap.String("Shard", shard))}
}

// Own implements dotterhead.Owner.
func (o shardOwner) Own(ctx context.Context, committer *dotterhead.Committer) error {
	startedAt := o.clock.Now()
	c := o.configuration.Load()
	b := dotterboard.New(o.settings.Board, committer.Epoch(), startedAt, committer.PredecessorExpiry(), o.logger)
	b.SetTimeOfDay(startedAt, wallTime())
	index, shards := o.place()
	b.SetShard(o.shard, index, shards)
	b.Configure(c.document, c.outDomains)
	b.AdoptOutlook(startedAt, wallTime(), committer.PredecessorVacancy().Outlook)
	planChanges, commitChanges := b.Subscribe(), b.Subscribe()
	revision, err := o.load(ctx, b, committer)
	if err != nil {
		o.logger.Error("shard not loaded", zap.Int64("Epoch", committer.Epoch()), zap.Error(err))
		return nil // releases the shard, so that another host can try
	}
	summary := b.Summary(startedAt)
	o.logger.Info("shard loaded", zap.Int64("Epoch", committer.Epoch()), zap.Int64("TookMs", int64(o.clock.Now()-startedAt)), zap.Int("Jobs", summary.Jobs), zap.Int("Runs", summary.Bound))
	committer.SetClocks(func(now dotterclock.Millis) []dotterworker.ClockReading { return b.ClockReadings(now, wallTime()) })
	o.setBoard(o.shard, b)
	defer o.setBoard(o.shard, nil)
	if c := o.configuration.Load(); c != nil { // the configuration may have changed before the board was stored
		b.Configure(c.document, c.outDomains)
	}

	ownerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	directory := dotterreplica.New(o.platform.Store, o.clock, o.logger, o.platform.DirectoryPrefix, watchWait,
		o.platform.NewDirectorySink(func(workers map[string]dotterworker.Worker) {
			b.UpdateDirectory(o.clock.Now(), o.ownWorkers(workers))
		})).WithPause(directoryPause)
	inbox := dotterreplica.New(o.platform.Store, o.clock, o.logger, dotterentry.InboxPrefix(o.shard), watchWait, inboxSink{o, b})
	cancellations := dotterreplica.New(o.platform.Store, o.clock, o.logger, dotterentry.CancelPrefix, watchWait, cancelSink{o, b})
	// Own waits only for the commit loop. The other goroutines may be in a long call when
	// their context ends, but what they change afterwards is never committed.
	guard := func(what string, f func()) { o.guard(cancel, what, f) }
	go guard("directory", func() { _ = directory.Run(ownerCtx) })
	go guard("inbox", func() { _ = inbox.RunFrom(ownerCtx, revision) })
	go guard("cancellations", func() { _ = cancellations.Run(ownerCtx) })
	freshen := func() { b.SetDirectoryFresh(directory.FreshAt()); b.SetCancellationsFresh(cancellations.FreshAt()) }
	go guard("plan", func() { o.plan(ownerCtx, b, freshen, planChanges) })
	go guard("advice", func() { o.advise(ownerCtx, b) })
	go guard("interference models", func() { o.shareLearned(ownerCtx, b) })
	go guard("sessions", func() { o.dispatch(ownerCtx, b, committer) })
	guard("commits", func() { err = o.commit(ownerCtx, b, freshen, committer, commitChanges) })
	return err
}

// guard calls f. If f panics, the shard is released: its state in memory can no longer be
// relied on, and another owner loads it from the store.
func (o shardOwner) guard(release context.CancelFunc, what string, f func()) {
	if contained := dotterpanic.Contain(f); contained != nil {
		o.logger.Error("shard released after a panic", contained.Fields(zap.String("In", what))...)
		release()
	}
}

// ownWorkers returns the workers of the shard.
func (o shardOwner) ownWorkers(workers map[string]dotterworker.Worker) map[string]dotterworker.Worker {
	p := o.partition.Load()
	own := map[string]dotterworker.Worker{}
	for id, w := range workers {
		if p.ShardOf(w) == o.shard {
			own[id] = w
		}
	}
	return own
}

// storedShard is the state of a shard as read from the store.
type storedShard struct {
	inbox, progress, cancellations []dotterkey.Entry
	revision                       dotterkey.Revision // as of which the inbox was read
	// Single keys; the version is 0 if there is none.
	allotments dotterkey.Entry // parts of the tenants' caps
	timestamp  dotterkey.Entry // of the newest commit that has one
	learned    dotterkey.Entry // interference model; also of version 0 if it was not read
}

// load reads the shard's state from the store into the board. It returns the revision
// as of which the inbox was read.
func (o shardOwner) load(ctx context.Context, b *dotterboard.Board, committer *dotterhead.Committer) (dotterkey.Revision, error) {
	stored, err := o.readWithRetries(ctx)
	if err != nil {
		return 0, err
	}
	o.restoreTimestamp(b, committer, stored.timestamp)
	o.restoreAllotments(b, stored.allotments)
	sink := inboxSink{o, b}
	sink.accept(stored.inbox)
	for _, e := range stored.progress { // the record of a job comes before its parts
		id, part, isPart := dotterentry.ParseProgressKey(o.shard, e.Key)
		var err error
		if isPart {
			err = b.RestorePart(o.clock.Now(), dotterboard.PartKey{Job: id, Number: part}, e.Value)
		} else {
			err = b.Restore(o.clock.Now(), id, e.Value)
		}
		if err != nil {
			b.Exclude(id, err)
		}
	}
	sink.absorb(stored.inbox)
	cancelSink{o, b}.Reset(stored.cancellations)
	o.restoreLearned(b, stored.learned)
	return stored.revision, nil
}

// readWithRetries reads the shard's state, with an increasing time limit for each attempt: a call that
// was sent into an outage of the store gets no answer after it.
func (o shardOwner) readWithRetries(ctx context.Context) (stored storedShard, err error) {
	for timeout := minLoadTimeout; timeout <= maxLoadTimeout && ctx.Err() == nil; timeout *= 2 {
		call, cancel := context.WithTimeout(ctx, timeout.Duration())
		stored, err = o.read(call)
		cancel()
		if err == nil {
			return stored, nil
		}
		o.logger.Warn("shard not read", zap.Int64("TimeoutMs", int64(timeout)), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-o.clock.After(loadRetryDelay):
		}
	}
	return storedShard{}, err
}

// read reads the shard's state. The listings need not agree: only this owner changes progress,
// and later changes of the others arrive by their watches.
func (o shardOwner) read(ctx context.Context) (storedShard, error) {
	var s storedShard
	reads, readCtx := errgroup.WithContext(ctx)
	reads.Go(func() (err error) {
		s.inbox, s.revision, err = o.platform.Store.List(readCtx, dotterentry.InboxPrefix(o.shard))
		return err
	})
	reads.Go(func() (err error) {
		s.progress, _, err = o.platform.Store.List(readCtx, dotterentry.ProgressPrefix(o.shard))
		return err
	})
	reads.Go(func() (err error) {
		s.cancellations, _, err = o.platform.Store.List(readCtx, dotterentry.CancelPrefix)
		return err
	})
	reads.Go(func() (err error) {
		s.timestamp, err = o.get(readCtx, dotterentry.TimestampKey(o.shard))
		return err
	})
	if _, shards := o.place(); shards > 1 { // the only shard has the whole caps, and nothing is stored
		reads.Go(func() (err error) {
			s.allotments, err = o.get(readCtx, dotterentry.AllotmentKey(o.shard))
			return err
		})
	}
	reads.Go(func() (err error) {
		if s.learned, err = o.get(readCtx, dotterentry.InterferenceKey(o.shard)); err != nil {
			o.logger.Warn("interference model not read", zap.Error(err)) // it can be learned again
		}
		return nil
	})
	err := reads.Wait()
	return s, err
}

// get returns the entry of a key, with version 0 if there is none.
func (o shardOwner) get(ctx context.Context, key string) (dotterkey.Entry, error) {
	stored, err := o.platform.Store.Get(ctx, key)
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return dotterkey.Entry{}, nil
	}
	return stored, err
}

// restoreTimestamp tells the board when the previous owner sent its last commit, by workers' clocks.
// There is no timestamp if an earlier version wrote the commit.
func (o shardOwner) restoreTimestamp(b *dotterboard.Board, committer *dotterhead.Committer, stored dotterkey.Entry) {
	if stored.Version == 0 {
		return
	}
	readings, validity, err := committer.PredecessorReadings(stored.Value)
	if err != nil {
		o.logger.Error("timestamp of the previous owner not decoded, the longest lease is assumed", zap.String("Key", stored.Key), zap.Int64("Version", int64(stored.Version)), zap.Error(err))
		return
	}
	b.SetPredecessorReadings(readings, validity)
}

// place returns the index of the shard among all of the partition, and their number.
func (o shardOwner) place() (index, shards int) {
	p := o.partition.Load()
	return slices.IndexFunc(p.Shards, func(s dotterpartition.Shard) bool { return s.Name == o.shard }), len(p.Shards)
}

// restoreAllotments restores the shard's parts of the tenants' caps.
func (o shardOwner) restoreAllotments(b *dotterboard.Board, stored dotterkey.Entry) {
	if stored.Version == 0 {
		return
	}
	if err := b.RestoreAllotments(stored.Value); err != nil {
		o.logger.Error("parts of the tenants' caps not decoded, no task of a tenant with a cap starts in this shard",
			zap.String("Key", stored.Key), zap.Int64("Version", int64(stored.Version)), zap.Error(err))
	}
}

// restoreLearned restores the predecessor's interference model. Failures are only logged,
// since the model can be learned again.
func (o shardOwner) restoreLearned(b *dotterboard.Board, stored dotterkey.Entry) {
	if stored.Version == 0 {
		return
	}
	if err := b.RestoreLearned(o.clock.Now(), stored.Value); err != nil {
		o.logger.Warn("interference model not restored", zap.Error(err))
		return
	}
	o.logger.Info("interference model restored", zap.Int("Bytes", len(stored.Value)), zap.Int64("Version", int64(stored.Version)))
}

// learnedInterval returns how often the interference model is saved.
func (o shardOwner) learnedInterval() dotterclock.Millis {
	if len(o.elector.Shards()) > 1 {
		return learnedShareInterval
	}
	return learnedSaveInterval
}

// shareLearned adopts what the owners of other shards have learned. Failures are only
// logged, since this owner learns too.
func (o shardOwner) shareLearned(ctx context.Context, b *dotterboard.Board) {
	if len(o.elector.Shards()) == 1 {
		return
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, maxLoadTimeout.Duration())
		entries, _, err := o.platform.Store.List(call, dotterentry.InterferencePrefix)
		cancel()
		for _, e := range entries {
			if e.Key == dotterentry.InterferenceKey(o.shard) {
				continue
			}
			if err := b.AdoptLearned(o.clock.Now(), e.Key, e.Value); err != nil {
				o.logger.Warn("interference model of another shard not decoded", zap.String("Key", e.Key), zap.Error(err))
			}
		}
		if err != nil && ctx.Err() == nil {
			o.logger.Debug("interference models not read", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-o.clock.After(learnedShareInterval):
		}
	}
}

// plan plans whenever the board has changed or a plan is due; freshen tells the board how old
// what it knows is. The pause after each plan
// grows with the plan's duration and leaves processor time to orders and commits.
func (o shardOwner) plan(ctx context.Context, b *dotterboard.Board, freshen func(), changed <-chan struct{}) {
	for {
		startedAt := o.clock.Now()
		freshen()
		next := b.Plan(startedAt, wallTime())
		select {
		case <-ctx.Done():
			return
		case <-o.clock.After(max(minPlanInterval, planPauseFactor*(o.clock.Now()-startedAt))):
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-o.clock.After(max(0, next-o.clock.Now())):
		}
	}
}

// advise sends the board's requests to the queues' admission policies, one at a time.
func (o shardOwner) advise(ctx context.Context, b *dotterboard.Board) {
	for ctx.Err() == nil {
		now := o.clock.Now()
		request, ok := b.NextAdviceRequest(now, wallTime())
		if !ok || o.platform.Admission == nil {
			select {
			case <-ctx.Done():
			case <-o.clock.After(advicePollInterval):
			}
			continue
		}
		call, cancel := context.WithTimeout(ctx, adviceTimeout.Duration())
		advice, err := o.platform.Admission.Advise(call, request.Step, request.Workers)
		cancel()
		b.HandleAdvice(o.clock.Now(), now, request, advice, err)
	}
}

// commit writes the board's changes to the store; freshen is as for plan. It commits at least once per
// heartbeat interval, which shows other hosts that the owner is alive.
func (o shardOwner) commit(ctx context.Context, b *dotterboard.Board, freshen func(), committer *dotterhead.Committer, changed <-chan struct{}) error {
	last := o.clock.Now()
	learnedAt, publishedAt := last, dotterclock.Millis(0)
	urgentInterval := o.settings.commitInterval(len(o.elector.Shards()))
	for {
		now := o.clock.Now()
		due := last + dotterhead.HeartbeatInterval
		switch {
		case b.Urgent():
			due = last + urgentInterval
		case b.Dirty():
			due = last + commitInterval
		}
		if now < due {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			case <-o.clock.After(due - now):
			}
			continue
		}
		last = now
		freshen() // plans may pause for longer than the vacancy stays true
		var extra []dotterkey.Entry
		if now-learnedAt >= o.learnedInterval() {
			learnedAt = now
			extra = o.learned(b)
		}
		if now-publishedAt >= publishInterval {
			publishedAt = now
			committer.SetVacancy(o.vacancy(now, b))
		}
		if err := o.commitBatch(ctx, b, committer, extra); err != nil {
			return err
		}
		if b.Deposed() {
			return dotterhead.ErrDeposed
		}
	}
}

// vacancy returns what the shard's head publishes. The only shard of a platform publishes
// no room, because nobody has a choice.
func (o shardOwner) vacancy(now dotterclock.Millis, b *dotterboard.Board) dottervacancy.Vacancy {
	if len(o.elector.Shards()) == 1 {
		return b.VacancyWithoutRoom(now, wallTime())
	}
	return b.Vacancy(now, wallTime())
}

// learned returns the interference model as an entry for a successor, or nothing if it
// cannot be encoded.
func (o shardOwner) learned(b *dotterboard.Board) []dotterkey.Entry {
	value, err := b.Learned(o.clock.Now())
	if err != nil {
		o.logger.Error("interference model not saved", zap.Error(err))
		return nil
	}
	return []dotterkey.Entry{{Key: dotterentry.InterferenceKey(o.shard), Value: value}}
}

// commitBatch commits a batch of the board's changes together with the entries in puts.
func (o shardOwner) commitBatch(ctx context.Context, b *dotterboard.Board, committer *dotterhead.Committer, puts []dotterkey.Entry) error {
	batch, err := b.Batch(dotterhead.MaxEntries - len(puts))
	if err != nil {
		return err
	}
	err = o.store(ctx, b, committer, batch, puts)
	if !errors.Is(err, dotterelusher.ErrStoreInvalid) {
		return err
	}
	o.logger.Error("commit rejected, its parts are stored one by one", zap.Int64("Epoch", committer.Epoch()), zap.Int64("Commit", committer.Number()+1),
		zap.Int("Jobs", len(batch.Records)), zap.Error(err))
	return o.storeSplit(ctx, b, committer, batch)
}

// storeSplit stores a rejected batch job by job, without what can be left out. What belongs to
// no job cannot be.
func (o shardOwner) storeSplit(ctx context.Context, b *dotterboard.Board, committer *dotterhead.Committer, batch *dotterboard.Batch) error {
	committer.SetVacancy(dottervacancy.Vacancy{})
	for _, one := range batch.Split() {
		err := o.store(ctx, b, committer, one, nil)
		switch {
		case errors.Is(err, dotterelusher.ErrStoreInvalid) && one.HasJob():
			b.HandleRejected(o.clock.Now(), one, err)
		case err != nil:
			return err
		}
	}
	return nil
}

// store commits a batch together with the entries in puts, and tells the board.
func (o shardOwner) store(ctx context.Context, b *dotterboard.Board, committer *dotterhead.Committer, batch *dotterboard.Batch, puts []dotterkey.Entry) error {
	batchPuts, deletes, err := o.keys(batch, committer)
	if err != nil {
		return err
	}
	err = committer.Commit(ctx, append(puts, batchPuts...), deletes)
	if errors.Is(err, dotterhead.ErrStopped) && ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	b.HandleCommitted(o.clock.Now(), batch)
	return nil
}

// keys returns the keys that a batch writes and deletes.
func (o shardOwner) keys(batch *dotterboard.Batch, committer *dotterhead.Committer) (puts []dotterkey.Entry, deletes []string, err error) {
	put := func(key string, value any) error {
		encoded, err := json.Marshal(value)
		puts = append(puts, dotterkey.Entry{Key: key, Value: encoded})
		return err
	}
	for id, record := range batch.Records {
		puts = append(puts, dotterkey.Entry{Key: dotterentry.ProgressKey(o.shard, id), Value: record})
	}
	for _, c := range batch.Parts {
		key := dotterentry.PartKey(o.shard, c.PartKey)
		if c.Value == nil {
			deletes = append(deletes, key)
		} else {
			puts = append(puts, dotterkey.Entry{Key: key, Value: c.Value})
		}
	}
	for _, j := range batch.Jobs {
		if err := put(dotterentry.JobKey(o.shard, j.ID), j); err != nil {
			return nil, nil, err
		}
	}
	for i, t := range batch.Transfers {
		key := dotterentry.TransferKey(t.To, t.Job.ID, o.shard, committer.Epoch(), committer.Number()+1, i)
		if err := put(key, t); err != nil {
			return nil, nil, err
		}
		if t.Home {
			puts = append(puts, dotterkey.Entry{Key: dotterentry.HomeKey(t.Job.ID), Value: dotterentry.Home{Shard: t.To, Tenant: t.Job.Tenant}.Value()})
		}
	}
	for id, c := range batch.Cancelled {
		if err := put(dotterentry.CancelKey(id), c); err != nil {
			return nil, nil, err
		}
	}
	if batch.Allotments != nil {
		puts = append(puts, dotterkey.Entry{Key: dotterentry.AllotmentKey(o.shard), Value: batch.Allotments})
	}
	for _, g := range batch.Grants {
		if err := put(dotterentry.GrantKey(g.To, o.shard, committer.Epoch(), committer.Number()+1), g); err != nil {
			return nil, nil, err
		}
	}
	deletes = append(deletes, batch.Absorbed...)
	for _, id := range append(batch.Dropped, batch.Expired...) {
		deletes = append(deletes, dotterentry.JobKey(o.shard, id), dotterentry.ProgressKey(o.shard, id))
	}
	for _, id := range batch.Closed {
		deletes = append(deletes, dotterentry.JobKey(o.shard, id))
	}
	for _, id := range batch.Expired {
		deletes = append(deletes, dotterentry.HomeKey(id), dotterentry.CancelKey(id))
	}
	return puts, deletes, nil
}

// dispatch maintains the sessions with the workers, and tells the board of other shards. It sends nothing once the store
// has not confirmed a commit for dotterhead.OwnershipTimeout, after which this host may no
// longer renew leases.
func (o shardOwner) dispatch(ctx context.Context, b *dotterboard.Board, committer *dotterhead.Committer) {
	d := dotterdispatch.New(b, o.platform.Runs, o.clock, o.logger, committer.OwnershipValid)
	for ctx.Err() == nil {
		b.SetPeers(o.peersOf(o.shard))
		d.Sync(ctx)
		select {
		case <-ctx.Done():
		case <-o.clock.After(syncInterval):
		}
	}
}

// inboxSink applies accepted jobs and transfers to the board.
type inboxSink struct {
	shardOwner
	board *dotterboard.Board
}

// Reset implements dotterreplica.Sink.
func (s inboxSink) Reset(entries []dotterkey.Entry) {
	s.accept(entries)
	s.absorb(entries)
}

// Change implements dotterreplica.Sink.
func (s inboxSink) Change(changes dotterkey.Changes) {
	s.Reset(changes.Entries)
}

func (s inboxSink) accept(entries []dotterkey.Entry) {
	for _, e := range entries {
		id, transfer := dotterentry.ParseInboxKey(s.shard, e.Key)
		if transfer {
			continue
		}
		var j dotterjob.Job
		err := json.Unmarshal(e.Value, &j)
		if err == nil && j.ID != id {
			err = eris.Errorf("the value is of job %q", j.ID)
		}
		if err != nil {
			s.board.Exclude(id, eris.Wrapf(err, "accepted job, version %d", e.Version))
			continue
		}
		s.board.Accept(s.clock.Now(), wallTime()-j.AcceptedAt, j)
	}
}

func (s inboxSink) absorb(entries []dotterkey.Entry) {
	for _, e := range entries {
		if dotterentry.IsGrantKey(s.shard, e.Key) {
			s.absorbGrant(e)
			continue
		}
		id, transfer := dotterentry.ParseInboxKey(s.shard, e.Key)
		if !transfer {
			continue
		}
		var t dotterboard.Transfer
		err := json.Unmarshal(e.Value, &t)
		if err == nil && t.Job.ID != id {
			err = eris.Errorf("the value is of job %q", t.Job.ID)
		}
		if err != nil {
			s.board.Exclude(id, eris.Wrapf(err, "transfer %s, version %d", e.Key, e.Version))
			continue
		}
		s.board.Absorb(s.clock.Now(), wallTime()-t.Job.AcceptedAt, e.Key, t)
	}
}

// absorbGrant applies a grant. One that cannot be decoded stays: its part is lost until somebody
// mends it, which is safe.
func (s inboxSink) absorbGrant(e dotterkey.Entry) {
	var g dotterboard.Grant
	if err := json.Unmarshal(e.Value, &g); err != nil {
		s.logger.Error("grant not decoded", zap.String("Key", e.Key), zap.Int64("Version", int64(e.Version)), zap.Error(err))
		return
	}
	s.board.AbsorbGrant(e.Key, g)
}

// cancelSink applies cancellations to the board.
type cancelSink struct {
	shardOwner
	board *dotterboard.Board
}

// Reset implements dotterreplica.Sink.
func (s cancelSink) Reset(entries []dotterkey.Entry) {
	for _, e := range entries {
		var c dotterboard.Cancellation
		if err := json.Unmarshal(e.Value, &c); err != nil {
			s.logger.Warn("cancellation not decoded, taken for the caller's", zap.String("Key", e.Key), zap.Int64("Version", int64(e.Version)), zap.Error(err))
		}
		s.board.Cancel(s.clock.Now(), dotterentry.ParseCancelKey(e.Key), c)
	}
}

// Change implements dotterreplica.Sink.
func (s cancelSink) Change(changes dotterkey.Changes) {
	s.Reset(changes.Entries)
	for _, key := range changes.Deleted {
		s.board.ForgetCancellation(dotterentry.ParseCancelKey(key))
	}
}
