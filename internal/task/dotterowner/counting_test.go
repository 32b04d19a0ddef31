package dotterowner

import (
	"context"
	"sync/atomic"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// countingStore counts the reads, writes and written bytes of an owner.
type countingStore struct {
	dotterelusher.Store
	writes atomic.Int64
	bytes  atomic.Int64
	reads  atomic.Int64
}

// Put counts a write.
func (s *countingStore) Put(ctx context.Context, key string, value []byte, expect dotterkey.Version, lease dotterkey.LeaseID) (dotterkey.Version, error) {
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	return s.Store.Put(ctx, key, value, expect, lease)
}

// Get counts a read.
func (s *countingStore) Get(ctx context.Context, key string) (dotterkey.Entry, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

// List counts a read.
func (s *countingStore) List(ctx context.Context, prefix string) ([]dotterkey.Entry, dotterkey.Revision, error) {
	s.reads.Add(1)
	return s.Store.List(ctx, prefix)
}
