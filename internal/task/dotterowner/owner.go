package dotterowner

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterpanic"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterledger"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
	"github.com/dotterelusher/dotterelusher/internal/task/dottershardlog"
)

// mailboxCapacity is the maximum number of functions queued for the loop.
const mailboxCapacity = 1024

// Owner runs the tasks of one shard until it is stopped or deposed.
type Owner struct {
	options Options
	limits  Limits
	logger  *zap.Logger
	tomb    tomb.Tomb
	mailbox chan func()
	closed  chan struct{} // closed when the loop has ended

	// The fields below are accessed by the loop only.
	log              *dottershardlog.Log
	ledger           *dotterledger.Ledger
	sequence         int64
	pending          []change
	writing          *batch
	nextWrite        dotterclock.Millis
	storeUnavailable bool // the last write failed or is unresolved
	backoff          dotterclock.Millis
	busy             map[dottertask.ID]int // number of uncommitted records by task
	workers          map[string]*worker
	attempts         map[dottertask.ID]*attempt
	offers           map[string]*offer
	offerSize        int // maximum number of tasks in the next offer
	nextBalance      dotterclock.Millis
	nextSync         dotterclock.Millis
	drainRate        drainRate
	logBytes         int // length of the log after the last write
	hostsChanged     <-chan struct{}
	dirty            bool // state has changed since the last plan
	nextPlan         dotterclock.Millis
	replanAt         dotterclock.Millis
	permission       dotterelusher.StartPermission
	document         dotterconfig.Document
	lastUsable       dotterclock.Millis // last time that a worker was usable
	nextDrain        dotterclock.Millis
	pendingTasks     int // submitted tasks whose records aren't committed yet
}

// Open claims the shard's log, restores the shard's state from it and starts the
// event loop. It returns ErrDeposed if another host claimed the log at the same time.
func Open(ctx context.Context, options Options) (*Owner, error) {
	log, ledger, err := dottershardlog.Open(ctx, options.Store, dottershardlog.Options{
		Prefix:   options.Shard.SegmentPrefix(),
		Writer:   options.Writer,
		RingSize: options.Limits.RingSegments,
		Ended:    options.Limits.MaxEnded,
	})
	if errors.Is(err, dottershardlog.ErrDeposed) {
		return nil, eris.Wrapf(ErrDeposed, "open %s: %v", options.Shard, err)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", options.Shard)
	}
	o := &Owner{
		options:    options,
		limits:     options.Limits,
		logger:     options.Logger.With(zap.String("Shard", options.Shard.String())),
		mailbox:    make(chan func(), mailboxCapacity),
		closed:     make(chan struct{}),
		log:        log,
		ledger:     ledger,
		sequence:   log.Sequence(),
		busy:       make(map[dottertask.ID]int),
		workers:    make(map[string]*worker),
		attempts:   make(map[dottertask.ID]*attempt),
		offers:     make(map[string]*offer),
		offerSize:  maxOfferSize,
		dirty:      true,
		lastUsable: options.Clock.Now(),
	}
	o.logBytes = log.Bytes()
	o.restoreFromLedger()
	o.logger.Info("Shard opened", zap.Int64("Epoch", log.Epoch()), zap.Int("Queued", ledger.QueueLen()), zap.Int("Bound", ledger.BoundLen()))
	o.tomb.Go(o.run)
	return o, nil
}

// run runs the loop. A panic ends the owner without writing anything more: what it has in
// memory can no longer be relied on, and the next owner reads the log.
func (o *Owner) run() error {
	var err error
	if contained := dotterpanic.Contain(func() { err = o.loop() }); contained != nil {
		o.logger.Error("Shard given up after a panic", contained.Fields(zap.Int64("Epoch", o.log.Epoch()))...)
		return contained
	}
	return err
}

// restoreFromLedger restores the attempts and offers of the previous owner. The
// state of each attempt on its worker is unknown, and each offer may have been
// accepted by its target.
func (o *Owner) restoreFromLedger() {
	o.document, _ = o.options.Configuration.Current()
	o.syncWorkers()
	for _, id := range o.ledger.Bound() {
		e, _ := o.ledger.Entry(id)
		w := o.workerOf(e.Task.Worker)
		o.addAttempt(w, &attempt{task: e.Task, number: e.Task.Attempt, size: e.Held, phase: phaseUncertain})
	}
	o.ledger.Queue(func(e dotterrecord.Entry) bool {
		if e.Target != "" {
			o.offerTo(e.Target).add(e.Task.ID)
			o.offerTo(e.Target).uncertain = true
		}
		return true
	})
}

// Epoch returns the epoch of this ownership.
func (o *Owner) Epoch() int64 {
	return o.log.Epoch()
}

// Dead returns a channel that is closed once the owner has ended.
func (o *Owner) Dead() <-chan struct{} {
	return o.tomb.Dead()
}

// Stop writes the pending changes, as far as the store accepts them, and ends the
// owner. Attempts keep running for the next owner.
func (o *Owner) Stop() {
	o.tomb.Kill(nil)
	<-o.tomb.Dead()
}

// Err returns the reason why the owner ended: nil after Stop, or ErrDeposed.
func (o *Owner) Err() error {
	if err := o.tomb.Err(); !errors.Is(err, tomb.ErrStillAlive) {
		return err
	}
	return nil
}

// post queues f for the loop and reports whether it was queued; it is not once
// the loop has ended.
func (o *Owner) post(f func()) bool {
	select {
	case <-o.closed: // the mailbox may have room all the same
		return false
	default:
	}
	select {
	case o.mailbox <- f:
		return true
	case <-o.closed:
		return false
	}
}

// runOnLoop runs f on the loop and waits for it to finish. Since the loop never
// blocks, this takes no longer than the functions queued before f.
func (o *Owner) runOnLoop(ctx context.Context, f func()) error {
	if ctx.Err() != nil {
		return eris.Wrap(ErrUnknown, ctx.Err().Error())
	}
	done := make(chan struct{})
	if !o.post(func() { f(); close(done) }) {
		return ErrDeposed
	}
	select {
	case <-done:
		return nil
	case <-o.closed:
		return ErrDeposed
	}
}

func (o *Owner) loop() error {
	defer close(o.closed)
	tick := o.options.Clock.After(o.limits.Tick)
	for {
		select {
		case <-o.tomb.Dying():
			return o.shutdown()
		case f := <-o.mailbox:
			f()
		case <-tick:
			o.onTick()
			tick = o.options.Clock.After(o.limits.Tick)
		}
		if o.tomb.Err() != tomb.ErrStillAlive {
			return o.shutdown()
		}
	}
}

// onTick reads the configuration and the host list and does all that is due.
func (o *Owner) onTick() {
	now := o.options.Clock.Now()
	if document, ok := o.options.Configuration.Current(); ok && document.Newer(o.document) {
		o.document = document
		o.dirty = true
	}
	o.permission = o.options.Configuration.StartsAllowed(o.options.Shard.FailureDomain)
	if o.syncDue(now) {
		o.syncWorkers()
	}
	o.expireLeases(now)
	o.drainWorkers(now)
	if o.storeUnavailable {
		o.startPreassigned(now)
	}
	if !o.storeUnavailable && o.planDue(now) {
		o.plan(now)
	}
	o.handOff(now)
	o.callWorkers(now)
	o.commit(now)
	o.updateGauges()
}

// shutdown writes the pending changes, until the store fails or the owner is
// deposed, and answers the callers of the rest.
func (o *Owner) shutdown() error {
	deposed := errors.Is(o.tomb.Err(), ErrDeposed)
	for !deposed && (o.writing != nil || len(o.pending) > 0) {
		o.nextWrite = 0
		o.commit(o.options.Clock.Now())
		if o.writing == nil {
			break
		}
		f := <-o.mailbox
		f()
		if o.storeUnavailable {
			break
		}
		deposed = errors.Is(o.tomb.Err(), ErrDeposed)
	}
	o.answerAllCallers()
	o.logger.Info("Shard closed", zap.Int64("Epoch", o.log.Epoch()), zap.NamedError("Reason", o.Err()))
	return nil
}

func (o *Owner) answerAllCallers() {
	if o.writing != nil {
		o.writing.answerUnknown()
	}
	unwritten := batch{changes: o.pending}
	unwritten.answerRefused()
}

func (o *Owner) depose(reason string) {
	o.tomb.Kill(eris.Wrap(ErrDeposed, reason))
}

// updateGauges sets the gauges of the shard.
func (o *Owner) updateGauges() {
	shard := o.options.Shard.String()
	running, preassigned := o.countAttempts()
	o.options.Metrics.QueueLen.WithLabelValues(shard).Set(float64(o.ledger.QueueLen()))
	o.options.Metrics.RunningLen.WithLabelValues(shard).Set(float64(running))
	o.options.Metrics.PreassignedLen.WithLabelValues(shard).Set(float64(preassigned))
}

func (o *Owner) countAttempts() (running, preassigned int) {
	for _, a := range o.attempts {
		if a.holdsCapacity() {
			running++
		} else if a.phase != phaseEnded {
			preassigned++
		}
	}
	return running, preassigned
}
