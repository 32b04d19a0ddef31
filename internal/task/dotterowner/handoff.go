package dotterowner

import (
	"context"
	"errors"
	"sort"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

const (
	// maxOfferSize is the maximum number of tasks offered to one shard at a time. Each
	// refusal halves the size of the next offers, so that a single task that fits
	// nowhere doesn't block the others for long.
	maxOfferSize = 200
	// offerRetryInterval is the time between two calls for the same offer.
	offerRetryInterval = dotterclock.Second
)

// handOff moves queued tasks to other shards if this shard can't run them or others
// are idle. A move takes three records: Offered in this shard's log, Accepted in
// the target's, and Moved in this shard's.
func (o *Owner) handOff(now dotterclock.Millis) {
	for target, f := range o.offers {
		o.callOffer(target, f, now)
	}
	if o.storeUnavailable {
		return
	}
	if !o.cannotRun(now) {
		o.balance(now)
		return
	}
	targets := o.options.Handoff.Targets(o.options.Shard)
	if len(targets) == 0 {
		return
	}
	waiting := o.movable(o.offerSize * len(targets))
	for i, target := range targets {
		part := stripe(waiting, i, len(targets), o.offerSize)
		if len(part) > 0 && len(o.offerTo(target).tasks) == 0 {
			o.makeOffer(target, part)
		}
	}
}

// cannotRun reports whether the failure domain is out or no worker has been usable
// for NoWorkerTimeout.
func (o *Owner) cannotRun(now dotterclock.Millis) bool {
	if o.domainOut() {
		return true
	}
	if len(o.usableWorkers()) > 0 {
		o.lastUsable = now
	}
	return now-o.lastUsable > o.limits.NoWorkerTimeout
}

// movable returns up to limit queued tasks without uncommitted records.
func (o *Owner) movable(limit int) []dottertask.ID {
	var ids []dottertask.ID
	o.ledger.Queue(func(e dotterrecord.Entry) bool {
		if e.Queued() && !o.isBusy(e.Task.ID) {
			ids = append(ids, e.Task.ID)
		}
		return len(ids) < limit
	})
	return ids
}

// stripe distributes ids over the targets in turn and returns those for the target
// with the given index, at most size of them.
func stripe(ids []dottertask.ID, index, targets, size int) []dottertask.ID {
	var part []dottertask.ID
	for i := index; i < len(ids) && len(part) < size; i += targets {
		part = append(part, ids[i])
	}
	return part
}

func (o *Owner) offerTo(target string) *offer {
	f, ok := o.offers[target]
	if !ok {
		f = &offer{tasks: make(map[dottertask.ID]struct{})}
		o.offers[target] = f
	}
	return f
}

func (o *Owner) makeOffer(target string, ids []dottertask.ID) {
	o.propose(o.offerChange(target, ids))
}

func (o *Owner) offerChange(target string, ids []dottertask.ID) change {
	return change{
		records: []dotterrecord.Record{{Offered: &dotterrecord.Offered{Tasks: ids, Target: target, At: o.options.Clock.Now()}}},
		committed: func() {
			f := o.offerTo(target)
			for _, id := range ids {
				f.add(id)
			}
		},
	}
}

// callOffer asks the target's owner to adopt the tasks of an offer.
func (o *Owner) callOffer(target string, f *offer, now dotterclock.Millis) {
	if f.callInFlight || len(f.tasks) == 0 || now < f.nextCall {
		return
	}
	var ids []dottertask.ID
	var entries []dotterrecord.Entry
	for id := range f.tasks {
		e, ok := o.ledger.Entry(id)
		if !ok || e.Closed() || e.Target != target {
			delete(f.tasks, id)
			continue
		}
		if !o.isBusy(id) && len(ids) < maxOfferSize {
			ids = append(ids, id)
			entries = append(entries, e.WithTarget(""))
		}
	}
	if len(ids) == 0 {
		return
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	f.callInFlight = true
	f.nextCall = now + offerRetryInterval
	o.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), o.limits.CallTimeout.Duration())
		defer cancel()
		err := o.options.Handoff.Adopt(ctx, target, entries)
		o.post(func() { o.handleOfferReply(target, f, ids, err) })
		return nil
	})
}

func (o *Owner) handleOfferReply(target string, f *offer, ids []dottertask.ID, err error) {
	f.callInFlight = false
	switch {
	case err == nil:
		o.offerSize = min(2*o.offerSize, maxOfferSize)
		o.propose(o.moveChange(target, f, ids))
	case errors.Is(err, ErrRefused) && !f.uncertain:
		// No other call for these tasks is in flight and none has taken effect.
		o.offerSize = max(o.offerSize/2, 1)
		o.propose(o.withdrawChange(f, ids))
	case !errors.Is(err, ErrRefused):
		f.uncertain = true
	}
}

func (o *Owner) moveChange(target string, f *offer, ids []dottertask.ID) change {
	record := dotterrecord.Moved{Tasks: ids, Target: target, At: o.options.Clock.Now()}
	return change{
		records: []dotterrecord.Record{{Moved: &record}},
		committed: func() {
			f.remove(ids)
			o.options.Metrics.Moves.Add(float64(len(ids)))
			o.logMoved(target, ids)
			o.forwardCancelOfOffered(target, ids)
		},
	}
}

func (o *Owner) withdrawChange(f *offer, ids []dottertask.ID) change {
	return change{
		records:   []dotterrecord.Record{{Offered: &dotterrecord.Offered{Tasks: ids, At: o.options.Clock.Now()}}},
		committed: func() { f.remove(ids) },
	}
}
