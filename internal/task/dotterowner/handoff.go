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
	// offerSize is the most tasks on their way to one shard; it is halved by each
	// refusal, so that one task that fits nowhere holds up no others for long.
	offerSize = 200
	// offerRetry is the time between two calls for the same offer.
	offerRetry = dotterclock.Second
)

// handOff moves waiting tasks to other shards when this shard can't
// run them: offered in this log, accepted in the other, moved in this one.
func (o *Owner) handOff(now dotterclock.Millis) {
	for target, f := range o.offers {
		o.callOffer(target, f, now)
	}
	if o.away {
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
		part := share(waiting, i, len(targets), o.offerSize)
		if len(part) > 0 && len(o.offerTo(target).tasks) == 0 {
			o.makeOffer(target, part)
		}
	}
}

// cannotRun reports whether the domain is out or no worker has been usable for long.
func (o *Owner) cannotRun(now dotterclock.Millis) bool {
	if o.domainOut() {
		return true
	}
	if len(o.usableWorkers()) > 0 {
		o.lastUsable = now
	}
	return now-o.lastUsable > o.limits.StrandedAfter
}

// movable returns waiting tasks that no record is under way for.
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

// share returns the part of ids that goes to the target with the index.
func share(ids []dottertask.ID, index, targets, size int) []dottertask.ID {
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
	o.propose(o.offering(target, ids))
}

func (o *Owner) offering(target string, ids []dottertask.ID) change {
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

// callOffer sends the tasks of an offer to the target's owner.
func (o *Owner) callOffer(target string, f *offer, now dotterclock.Millis) {
	if f.calling || len(f.tasks) == 0 || now < f.nextCall {
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
		if !o.isBusy(id) && len(ids) < offerSize {
			ids = append(ids, id)
			entries = append(entries, e.WithTarget(""))
		}
	}
	if len(ids) == 0 {
		return
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	f.calling = true
	f.nextCall = now + offerRetry
	o.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), o.limits.CallTimeout.Duration())
		defer cancel()
		err := o.options.Handoff.Adopt(ctx, target, entries)
		o.post(func() { o.offered(target, f, ids, err) })
		return nil
	})
}

func (o *Owner) offered(target string, f *offer, ids []dottertask.ID, err error) {
	f.calling = false
	switch {
	case err == nil:
		o.offerSize = min(2*o.offerSize, offerSize)
		o.propose(o.moved(target, f, ids))
	case errors.Is(err, ErrRefused) && !f.uncertain:
		// No call for these tasks is under way and none was carried out.
		o.offerSize = max(o.offerSize/2, 1)
		o.propose(o.withdrawn(f, ids))
	case !errors.Is(err, ErrRefused):
		f.uncertain = true
	}
}

func (o *Owner) moved(target string, f *offer, ids []dottertask.ID) change {
	record := dotterrecord.Moved{Tasks: ids, Target: target, At: o.options.Clock.Now()}
	return change{
		records: []dotterrecord.Record{{Moved: &record}},
		committed: func() {
			f.remove(ids)
			o.options.Metrics.Moves.Add(float64(len(ids)))
			o.logMoved(target, ids)
			o.passOnCancelled(target, ids)
		},
	}
}

func (o *Owner) withdrawn(f *offer, ids []dottertask.ID) change {
	return change{
		records:   []dotterrecord.Record{{Offered: &dotterrecord.Offered{Tasks: ids, At: o.options.Clock.Now()}}},
		committed: func() { f.remove(ids) },
	}
}
