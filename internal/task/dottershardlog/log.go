package dottershardlog

import (
	"context"
	"errors"
	"math"

	"github.com/rotisserie/eris"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterledger"
	"github.com/dotterelusher/dotterelusher/internal/task/dotterrecord"
)

const (
	// RingSize is the number of segments that a log keeps.
	RingSize = 1024
	// carryAhead is how many segments before their overwriting entries are carried.
	carryAhead = 64
	// carryBytes is about how much one segment carries ahead of need.
	carryBytes = 128 << 10
	// MaxLedgerBytes is the most that a shard's entries may take; so much is carried
	// ahead of need, and no segment comes near a value's largest size.
	MaxLedgerBytes = 7 << 20
	// MaxBatchBytes is about the most that the records of one group commit take.
	MaxBatchBytes = 384 << 10
	// claimTries bounds how often an unresolved claim is tried; one that is given
	// up and got in all the same is an empty segment.
	claimTries = 3
	// readTries bounds how often a ring is read that changes meanwhile.
	readTries = 5
)

// Log is one writer's handle on a shard's log. It is used by one goroutine at a time.
type Log struct {
	store    dotterelusher.Store
	writer   string
	ring     *ring
	epoch    int64
	newest   int64 // number of the newest segment
	batch    int64
	carried  int64 // every segment up to this one states nothing alone
	sequence int64
}

// Options sizes a log.
type Options struct {
	Prefix   string // of the ring's keys
	Writer   string // names this process; no two processes share one
	RingSize int64  // segments kept; zero means RingSize
	Ended    int    // ended tasks kept; zero means dotterledger.EndedLimit
}

// Open reads the log and claims it. The claim deposes the writer before.
// It returns ErrDeposed when another writer claimed it at the same time.
func Open(ctx context.Context, store dotterelusher.Store, options Options) (*Log, *dotterledger.Ledger, error) {
	options = options.withDefaults()
	l := &Log{store: store, writer: options.Writer, ring: newRing(options.Prefix, options.RingSize)}
	segments, err := l.readRing(ctx)
	if err != nil {
		return nil, nil, err
	}
	ledger := dotterledger.New(options.Ended)
	for _, s := range segments {
		ledger.ApplySegment(s)
		l.newest = s.Number
		l.epoch = max(l.epoch, s.Epoch)
		l.sequence = max(l.sequence, s.Sequence)
	}
	l.carried = max(0, l.newest-l.ring.size)
	l.epoch++
	return l, ledger, l.claim(ctx, ledger)
}

func (o Options) withDefaults() Options {
	if o.RingSize == 0 {
		o.RingSize = RingSize
	}
	if o.Ended == 0 {
		o.Ended = dotterledger.EndedLimit
	}
	return o
}

// Epoch returns the epoch of this writer's claim.
func (l *Log) Epoch() int64 {
	return l.epoch
}

// Sequence returns how many task numbers the log says were given out.
func (l *Log) Sequence() int64 {
	return l.sequence
}

func (l *Log) readRing(ctx context.Context) ([]dotterrecord.Segment, error) {
	var failure error
	for range readTries {
		entries, _, err := l.store.List(ctx, l.ring.prefix)
		if err != nil {
			return nil, eris.Wrapf(ErrUnavailable, "read the ring: %v", err)
		}
		segments, err := l.ring.read(entries)
		if err == nil {
			return segments, nil
		}
		failure = err
	}
	return nil, failure
}

// claim writes the first segment of the new epoch and resolves a lost answer.
func (l *Log) claim(ctx context.Context, ledger *dotterledger.Ledger) error {
	segment := l.BuildSegment(ledger, nil, l.sequence)
	var err error
	for range claimTries {
		err = l.Write(ctx, segment)
		if !errors.Is(err, ErrIndeterminate) {
			break
		}
	}
	if err != nil {
		return err
	}
	l.Apply(ledger, segment)
	return nil
}

// BuildSegment returns the next segment: what must be carried forward, then records.
func (l *Log) BuildSegment(ledger *dotterledger.Ledger, records []dotterrecord.Record, sequence int64) dotterrecord.Segment {
	l.batch++
	number := l.newest + 1
	return dotterrecord.Segment{
		Number:   number,
		Epoch:    l.epoch,
		Writer:   l.writer,
		Batch:    l.batch,
		Sequence: sequence,
		Records:  append(l.carry(ledger, number), records...),
	}
}

// carry returns statements of what the oldest segments alone state. It runs
// ahead by a bounded number of bytes at each write; the segment that number
// overwrites is carried whole whatever that takes.
func (l *Log) carry(ledger *dotterledger.Ledger, number int64) []dotterrecord.Record {
	var records []dotterrecord.Record
	overwritten := number - l.ring.size
	last := min(overwritten+min(carryAhead, l.ring.size/4), number-1)
	budget := carryBytes
	for segment := max(1, l.carried+1); segment <= last; segment++ {
		if segment <= overwritten {
			budget = math.MaxInt
		}
		stated, whole := ledger.LiveRecords(segment, budget)
		records = append(records, stated...)
		if !whole {
			break
		}
		budget = carryBytes - recordBytes(records)
	}
	return records
}

func recordBytes(records []dotterrecord.Record) int {
	sum := 0
	for _, r := range records {
		sum += r.Bytes()
	}
	return sum
}

// Write writes segment, which Seal returned last, or resolves an earlier try of
// the same. Its errors are ErrDeposed, ErrUnavailable and ErrIndeterminate.
func (l *Log) Write(ctx context.Context, segment dotterrecord.Segment) error {
	if segment.Number != l.newest+1 {
		panic("shard log: a segment is written twice or out of order")
	}
	key := l.ring.key(segment.Number)
	value := segment.Encode()
	version, err := l.store.Put(ctx, key, value, l.ring.version(segment.Number), "")
	switch {
	case err == nil:
		l.written(segment, version, len(value))
		return nil
	case errors.Is(err, dotterelusher.ErrStoreUnavailable):
		return eris.Wrapf(ErrUnavailable, "segment %d: %v", segment.Number, err)
	}
	return l.resolve(ctx, key, segment)
}

// resolve reads the key back after a conflict or a lost answer.
func (l *Log) resolve(ctx context.Context, key string, segment dotterrecord.Segment) error {
	entry, err := l.store.Get(ctx, key)
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		entry, err = dotterkey.Entry{}, nil
	}
	if err != nil {
		return eris.Wrapf(ErrIndeterminate, "segment %d: %v", segment.Number, err)
	}
	if entry.Version <= l.ring.version(segment.Number) {
		return eris.Wrapf(ErrIndeterminate, "segment %d: not there yet", segment.Number)
	}
	found, err := dotterrecord.DecodeSegment(entry.Value)
	if err != nil || !found.SameWrite(segment) {
		return eris.Wrapf(ErrDeposed, "segment %d is by %s", segment.Number, found.Writer)
	}
	l.written(segment, entry.Version, len(entry.Value))
	return nil
}

func (l *Log) written(segment dotterrecord.Segment, version dotterkey.Version, length int) {
	l.ring.note(segment.Number, version, length)
	l.newest = segment.Number
	l.sequence = segment.Sequence
}

// Apply applies a written segment to ledger and notes what it carried.
func (l *Log) Apply(ledger *dotterledger.Ledger, segment dotterrecord.Segment) {
	ledger.ApplySegment(segment)
	for s := l.carried + 1; s < segment.Number; s++ {
		if left, _ := ledger.LiveRecords(s, 1); len(left) > 0 {
			break
		}
		ledger.DropSegment(s)
		l.carried = s
	}
}

// Newest returns the number of the newest segment that this writer knows.
func (l *Log) Newest() int64 {
	return l.newest
}

// Bytes returns how many bytes the segments in the ring take; whoever opens the
// log reads as many.
func (l *Log) Bytes() int {
	return l.ring.bytes
}
