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
	// compactAhead is how many writes before a segment is overwritten its live
	// records begin to be written again.
	compactAhead = 64
	// compactBytes limits the live records that one segment writes again earlier
	// than it must; the last record may exceed it.
	compactBytes = 128 << 10
	// MaxLedgerBytes is the largest total size of a shard's entries. It is less than
	// compactAhead times compactBytes, so all live records are written again before
	// they must be, and no segment comes near the maximum size of a store value.
	MaxLedgerBytes = 7 << 20
	// MaxBatchBytes is the approximate maximum size of the records of one group commit.
	MaxBatchBytes = 384 << 10
	// maxClaimTries limits the writes of an unresolved claim. A claim that was given
	// up but still takes effect adds a segment without new records.
	maxClaimTries = 3
	// maxReadTries limits the reads of a ring that changes while it is read.
	maxReadTries = 5
)

// Log is one writer's handle to a shard's log. It is not safe for concurrent use.
type Log struct {
	store     dotterelusher.Store
	writer    string
	ring      *ring
	epoch     int64
	newest    int64 // number of the newest segment
	batch     int64
	compacted int64 // no segment up to this one has live records
	sequence  int64
}

// Options configures a log.
type Options struct {
	Prefix   string // of the ring's keys
	Writer   string // identifies this process; no two processes may share one
	RingSize int64  // number of segments kept; zero means RingSize
	Ended    int    // number of ended tasks kept; zero means dotterledger.EndedLimit
}

// Open reads the log and claims it, which deposes the previous writer. It returns
// ErrDeposed if another writer claimed the log at the same time.
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
	l.compacted = max(0, l.newest-l.ring.size)
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

// Sequence returns the number of task numbers assigned according to the log.
func (l *Log) Sequence() int64 {
	return l.sequence
}

func (l *Log) readRing(ctx context.Context) ([]dotterrecord.Segment, error) {
	var lastErr error
	for range maxReadTries {
		entries, _, err := l.store.List(ctx, l.ring.prefix)
		if err != nil {
			return nil, eris.Wrapf(ErrUnavailable, "list segments: %v", err)
		}
		segments, err := l.ring.read(entries)
		if err == nil {
			return segments, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// claim writes the first segment of the new epoch. It writes the segment again
// while the outcome is indeterminate.
func (l *Log) claim(ctx context.Context, ledger *dotterledger.Ledger) error {
	segment := l.BuildSegment(ledger, nil, l.sequence)
	var err error
	for range maxClaimTries {
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

// BuildSegment returns the next segment: live records of the oldest segments,
// followed by records.
func (l *Log) BuildSegment(ledger *dotterledger.Ledger, records []dotterrecord.Record, sequence int64) dotterrecord.Segment {
	l.batch++
	number := l.newest + 1
	return dotterrecord.Segment{
		Number:   number,
		Epoch:    l.epoch,
		Writer:   l.writer,
		Batch:    l.batch,
		Sequence: sequence,
		Records:  append(l.compact(ledger, number), records...),
	}
}

// compact returns live records of the oldest segments for the segment with the
// given number. Records that this segment's write overwrites are always included;
// others are included ahead of time up to compactBytes.
func (l *Log) compact(ledger *dotterledger.Ledger, number int64) []dotterrecord.Record {
	var records []dotterrecord.Record
	overwritten := number - l.ring.size
	last := min(overwritten+min(compactAhead, l.ring.size/4), number-1)
	budget := compactBytes
	for segment := max(1, l.compacted+1); segment <= last; segment++ {
		if segment <= overwritten {
			budget = math.MaxInt
		}
		live, complete := ledger.LiveRecords(segment, budget)
		records = append(records, live...)
		if !complete {
			break
		}
		budget = compactBytes - recordBytes(records)
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

// Write writes segment, which must be the last that BuildSegment returned, or
// resolves an earlier write of the same segment. It fails with ErrDeposed,
// ErrUnavailable or ErrIndeterminate.
func (l *Log) Write(ctx context.Context, segment dotterrecord.Segment) error {
	if segment.Number != l.newest+1 {
		panic("shard log: a segment is written twice or out of order")
	}
	key := l.ring.key(segment.Number)
	value := segment.Encode()
	version, err := l.store.Put(ctx, key, value, l.ring.version(segment.Number), "")
	switch {
	case err == nil:
		l.advance(segment, version, len(value))
		return nil
	case errors.Is(err, dotterelusher.ErrStoreUnavailable):
		return eris.Wrapf(ErrUnavailable, "segment %d: %v", segment.Number, err)
	}
	return l.resolve(ctx, key, segment)
}

// resolve reads the key back after a conflict or a lost answer to find out which
// segment it holds.
func (l *Log) resolve(ctx context.Context, key string, segment dotterrecord.Segment) error {
	entry, err := l.store.Get(ctx, key)
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		entry, err = dotterkey.Entry{}, nil
	}
	if err != nil {
		return eris.Wrapf(ErrIndeterminate, "segment %d: %v", segment.Number, err)
	}
	if entry.Version <= l.ring.version(segment.Number) {
		return eris.Wrapf(ErrIndeterminate, "segment %d: not stored yet", segment.Number)
	}
	found, err := dotterrecord.DecodeSegment(entry.Value)
	if err != nil || !found.SameWrite(segment) {
		return eris.Wrapf(ErrDeposed, "segment %d is by %s", segment.Number, found.Writer)
	}
	l.advance(segment, entry.Version, len(entry.Value))
	return nil
}

// advance makes segment the newest one, stored with version and length.
func (l *Log) advance(segment dotterrecord.Segment, version dotterkey.Version, length int) {
	l.ring.setSlot(segment.Number, version, length)
	l.newest = segment.Number
	l.sequence = segment.Sequence
}

// Apply applies a written segment to ledger and updates which segments have no
// live records left.
func (l *Log) Apply(ledger *dotterledger.Ledger, segment dotterrecord.Segment) {
	ledger.ApplySegment(segment)
	for s := l.compacted + 1; s < segment.Number; s++ {
		if live, _ := ledger.LiveRecords(s, 1); len(live) > 0 {
			break
		}
		ledger.DropSegment(s)
		l.compacted = s
	}
}

// Newest returns the number of the newest segment known to this writer.
func (l *Log) Newest() int64 {
	return l.newest
}

// Bytes returns the size of all segments in the ring, which Open must read.
func (l *Log) Bytes() int {
	return l.ring.bytes
}
