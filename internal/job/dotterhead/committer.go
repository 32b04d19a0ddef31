package dotterhead

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/model/dottervacancy"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// Errors of a Committer.
var (
	// ErrDeposed means that another host owns the shard.
	ErrDeposed = eris.New("head: another host has taken the shard over")
	// ErrStopped means that the context ended before the outcome of a commit was known.
	ErrStopped = eris.New("head: stopped before the commit was answered")
)

const (
	// storeCallTimeout bounds one call to the store, which usually answers within milliseconds.
	storeCallTimeout = 800 * dotterclock.Millisecond
	// retryDelay is the delay before a commit is retried; short compared with HeartbeatInterval.
	retryDelay = 60 * dotterclock.Millisecond
)

// OwnershipTimeout is how long an owner may keep sending orders after its last commit
// that the store confirmed. Together with the leases of the runs it outlasts the
// store's usual outages, which take some seconds. A successor waits it out for workers
// that it cannot reach.
const OwnershipTimeout = 3 * dotterclock.Second

// Committer writes the commits of one owner. One goroutine at a time may commit.
type Committer struct {
	store             dotterelusher.TransactionalStore
	key               string
	clock             dotterelusher.Clock
	logger            *zap.Logger
	head              Head
	version           dotterkey.Version
	predecessorExpiry dotterclock.Millis
	confirmedAt       atomic.Int64
	vacancy           dottervacancy.Vacancy
	predecessor       Head // as it left the shard

	timestampKey string
	timestampAt  dotterclock.Millis // when the newest stored timestamp was made; 0: none with readings is stored
	readClocks   func(now dotterclock.Millis) []dotterworker.ClockReading
}

// Epoch returns the owner's epoch.
func (c *Committer) Epoch() int64 {
	return c.head.Epoch
}

// Number returns the number of the newest confirmed commit of this epoch.
func (c *Committer) Number() int64 {
	return c.head.Commit
}

// PredecessorExpiry returns the time until which the previous owner may keep sending orders.
func (c *Committer) PredecessorExpiry() dotterclock.Millis {
	return c.predecessorExpiry
}

// PredecessorVacancy returns what the previous owner published last.
func (c *Committer) PredecessorVacancy() dottervacancy.Vacancy {
	return c.predecessor.Vacancy
}

// PredecessorReadings returns clock readings from the stored timestamp, and for how long after them
// the previous owner may have sent orders. It returns no readings if the timestamp is not the previous owner's.
func (c *Committer) PredecessorReadings(stored []byte) ([]dotterworker.ClockReading, dotterclock.Millis, error) {
	t, err := decodeTimestamp(stored)
	if err != nil {
		return nil, 0, err
	}
	validity, ok := t.validity(c.predecessor)
	if !ok {
		return nil, 0, nil
	}
	return t.Readings, validity, nil
}

// SetClocks sets the function that reads workers' clocks for timestamps; none of its readings
// may be earlier than now. It must not be called during a commit.
func (c *Committer) SetClocks(read func(now dotterclock.Millis) []dotterworker.ClockReading) {
	c.readClocks = read
}

// OwnershipValid reports whether this host may still send orders as the owner.
func (c *Committer) OwnershipValid() bool {
	return c.clock.Now()-c.ConfirmedAt() < OwnershipTimeout
}

// ConfirmedAt returns when the newest confirmed commit was first sent. This host was the
// owner at that time. A later attempt does not count: the first one may have taken effect, so that
// others have seen the head unchanged since then.
func (c *Committer) ConfirmedAt() dotterclock.Millis {
	return dotterclock.Millis(c.confirmedAt.Load())
}

// SetVacancy sets what the following commits publish of the shard's room. It must not be
// called during a commit.
func (c *Committer) SetVacancy(v dottervacancy.Vacancy) {
	c.vacancy = v
}

// MaxEntries is how many keys one commit may change in addition to the head, which is also
// expected, and the timestamp.
const MaxEntries = dotterkey.MaxTransactionEntries - 3

// Commit writes the entries and deletes the keys. It retries until the outcome is
// known. It returns ErrDeposed if another host owns the shard, ErrStopped if ctx
// ends first, and dotterelusher.ErrStoreInvalid if the store will never accept the commit.
func (c *Committer) Commit(ctx context.Context, puts []dotterkey.Entry, deletes []string) error {
	next := c.head
	next.Commit++
	next.Vacancy = c.vacancy
	return c.advance(ctx, next, puts, deletes)
}

// Release removes the owner from the head, so that another host may take the shard over at once.
func (c *Committer) Release(ctx context.Context) error {
	next := c.head
	next.Host, next.Address = "", ""
	next.Commit++
	return c.advance(ctx, next, nil, nil)
}

// advance writes the next head together with the entries.
func (c *Committer) advance(ctx context.Context, next Head, puts []dotterkey.Entry, deletes []string) error {
	begunAt := c.clock.Now()
	next.Sole = begunAt >= c.predecessorExpiry
	timestampAt := c.timestampAt
	if c.timestampAt == 0 || begunAt-c.timestampAt >= timestampInterval || next.Released() {
		timestamp := c.timestamp(begunAt, next)
		if timestampAt != 0 || len(timestamp.Readings) > 0 {
			puts = append(puts, dotterkey.Entry{Key: c.timestampKey, Value: timestamp.encode()})
		}
		timestampAt = 0
		if len(timestamp.Readings) > 0 {
			timestampAt = begunAt
		}
	}
	t := dotterkey.Transaction{
		Expect:  map[string]dotterkey.Version{c.key: c.version},
		Puts:    append(puts, dotterkey.Entry{Key: c.key, Value: next.encode()}),
		Deletes: deletes,
	}
	if err := t.Check(); err != nil {
		return eris.Wrap(dotterelusher.ErrStoreInvalid, err.Error())
	}
	for attempt := 1; ; attempt++ {
		sentAt := c.clock.Now()
		version, err := c.try(ctx, t, next)
		if err == nil {
			c.head, c.version = next, version
			c.confirmedAt.Store(int64(begunAt))
			c.timestampAt = timestampAt
			return nil
		}
		if errors.Is(err, ErrDeposed) || errors.Is(err, dotterelusher.ErrStoreInvalid) {
			return err
		}
		c.logger.Warn("commit not confirmed", zap.Int64("Epoch", next.Epoch), zap.Int64("Commit", next.Commit),
			zap.Int("Attempt", attempt), zap.Int64("ConfirmedMsAgo", int64(sentAt-c.ConfirmedAt())), zap.Error(err))
		select {
		case <-ctx.Done():
			return ErrStopped
		case <-c.clock.After(retryDelay):
		}
	}
}

// timestamp dates a commit by the workers' clocks.
func (c *Committer) timestamp(now dotterclock.Millis, next Head) Timestamp {
	t := Timestamp{Epoch: next.Epoch, Commit: next.Commit}
	if c.readClocks != nil {
		t.Readings = c.readClocks(now)
	}
	return t
}

// try sends the transaction once. A conflict with the very head that it writes means
// that an earlier attempt took effect and its answer was lost.
func (c *Committer) try(ctx context.Context, t dotterkey.Transaction, next Head) (dotterkey.Version, error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	revision, current, err := c.store.Commit(call, t)
	if err == nil {
		return dotterkey.Version(revision), nil
	}
	if !errors.Is(err, dotterelusher.ErrStoreConflict) {
		return 0, err
	}
	for _, e := range current {
		if e.Key != c.key {
			continue
		}
		found, err := decode(e.Value)
		if err == nil && found.sameCommit(next) {
			return e.Version, nil
		}
	}
	return 0, ErrDeposed
}
