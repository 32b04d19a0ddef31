package dottermember

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// changeKind names a change of the record, for logs and metrics.
type changeKind string

const (
	kindJoin    changeKind = "Join"
	kindLeave   changeKind = "Leave"
	kindGone    changeKind = "Gone"
	kindReclaim changeKind = "Reclaim"
	kindClose   changeKind = "Close"
)

const (
	// storeRetry is the mean wait before a change is tried again.
	storeRetry = 50 * dotterclock.Millisecond
	// changeAttempts is how often one change is tried before the next tick has its turn.
	changeAttempts = 8
)

// ErrRecordUnavailable means that the record could not be read or changed.
var ErrRecordUnavailable = eris.New("membership: the record is not available")

func (k *Membership) key() string {
	return keyPrefix + k.domain
}

// change applies a function to the record in the store by compare-and-swap and
// adopts the outcome. The function returns its argument if there is nothing to
// do, so that repeating it after a lost answer is safe.
func (k *Membership) change(ctx context.Context, kind changeKind, change func(Record) Record) error {
	for range changeAttempts {
		done, err := k.changeOnce(ctx, kind, change)
		if done || err != nil {
			return err
		}
		if !k.wait(ctx, storeRetry/2+rand.N(storeRetry)) {
			break
		}
	}
	return ErrRecordUnavailable
}

// changeOnce makes one attempt; neither done nor an error means try again.
func (k *Membership) changeOnce(ctx context.Context, kind changeKind, change func(Record) Record) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	record, version, err := k.read(ctx)
	if err != nil {
		return false, err
	}
	next := change(record)
	if next.Revision == record.Revision {
		k.adopt(record)
		return true, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(ErrRecordUnavailable, err.Error())
	}
	_, err = k.store.Put(ctx, k.key(), value, version, "")
	switch {
	case err == nil:
		k.metrics.changes.WithLabelValues(string(kind)).Inc()
		k.logger.Info("membership changed", zap.String("Kind", string(kind)), zap.Int64("Epoch", next.Current.Number))
		k.adopt(next)
		return true, nil
	case errors.Is(err, dotterelusher.ErrStoreConflict), errors.Is(err, dotterelusher.ErrStoreIndeterminate):
		return false, nil
	default:
		return false, eris.Wrap(ErrRecordUnavailable, err.Error())
	}
}

// read returns the record in the store; an absent one is empty at version zero.
func (k *Membership) read(ctx context.Context) (Record, dotterkey.Version, error) {
	var record Record
	e, err := k.store.Get(ctx, k.key())
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return record, 0, nil
	}
	if err != nil {
		return record, 0, eris.Wrap(ErrRecordUnavailable, err.Error())
	}
	if err := json.Unmarshal(e.Value, &record); err != nil {
		return record, 0, eris.Wrap(ErrRecordUnavailable, err.Error())
	}
	return record, e.Version, nil
}
