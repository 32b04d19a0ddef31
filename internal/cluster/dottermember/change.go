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

// changeKind is the kind of a change of the record, for logs and metrics.
type changeKind string

const (
	kindJoin    changeKind = "Join"
	kindLeave   changeKind = "Leave"
	kindGone    changeKind = "Gone"
	kindReclaim changeKind = "Reclaim"
	kindClose   changeKind = "Close"
)

const (
	// changeRetryDelay is the mean delay before a change is retried.
	changeRetryDelay = 50 * dotterclock.Millisecond
	// maxChangeAttempts is the number of attempts at one change before change gives
	// up, so that the next tick is not delayed further.
	maxChangeAttempts = 8
)

// ErrRecordUnavailable is returned when the record cannot be read or changed.
var ErrRecordUnavailable = eris.New("membership: the record is not available")

func (m *Membership) key() string {
	return keyPrefix + m.domain
}

// change applies a function to the record in the store by compare-and-swap and
// adopts the result. apply returns its argument if there is nothing to change, so
// that it can be repeated safely after a lost answer.
func (m *Membership) change(ctx context.Context, kind changeKind, apply func(Record) Record) error {
	for range maxChangeAttempts {
		done, err := m.tryChange(ctx, kind, apply)
		if done || err != nil {
			return err
		}
		if !m.sleep(ctx, changeRetryDelay/2+rand.N(changeRetryDelay)) {
			break
		}
	}
	return ErrRecordUnavailable
}

// tryChange makes one attempt at a change. It returns false and no error if the
// attempt may be retried.
func (m *Membership) tryChange(ctx context.Context, kind changeKind, apply func(Record) Record) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	record, version, err := m.read(ctx)
	if err != nil {
		return false, err
	}
	next := apply(record)
	if next.Revision == record.Revision {
		m.adopt(record)
		return true, nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, eris.Wrap(ErrRecordUnavailable, err.Error())
	}
	_, err = m.store.Put(ctx, m.key(), value, version, "")
	switch {
	case err == nil:
		m.metrics.changes.WithLabelValues(string(kind)).Inc()
		m.logger.Info("membership changed", zap.String("Kind", string(kind)), zap.Int64("Epoch", next.Current.Number))
		m.adopt(next)
		return true, nil
	case errors.Is(err, dotterelusher.ErrStoreConflict), errors.Is(err, dotterelusher.ErrStoreIndeterminate):
		return false, nil
	default:
		return false, eris.Wrap(ErrRecordUnavailable, err.Error())
	}
}

// read returns the record in the store and its version. If there is none, it
// returns an empty record and version zero.
func (m *Membership) read(ctx context.Context) (Record, dotterkey.Version, error) {
	var record Record
	e, err := m.store.Get(ctx, m.key())
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
