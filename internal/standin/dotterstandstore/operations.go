package dotterstandstore

import (
	"context"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
	"github.com/dotterelusher/dotterelusher/internal/platform/dotterwire"
)

func (s *Server) get(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	entry, err := s.store.Get(ctx, call.Key)
	return dotterwire.StoreAnswer{Entries: []dotterkey.Entry{entry}}, err
}

func (s *Server) list(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	entries, revision, err := s.store.List(ctx, call.Prefix)
	return dotterwire.StoreAnswer{Entries: entries, Revision: revision}, err
}

func (s *Server) watch(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	changes, err := s.store.Watch(ctx, call.Prefix, call.After)
	return dotterwire.StoreAnswer{Entries: changes.Entries, Deleted: changes.Deleted, Revision: changes.Revision}, err
}

func (s *Server) put(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	version, err := s.store.Put(ctx, call.Key, call.Value, call.Expect, call.Lease)
	return dotterwire.StoreAnswer{Version: version}, err
}

func (s *Server) remove(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	return dotterwire.StoreAnswer{}, s.store.Delete(ctx, call.Key, call.Expect)
}

func (s *Server) grant(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	lease, err := s.store.Grant(ctx, call.Span)
	return dotterwire.StoreAnswer{Lease: lease}, err
}

func (s *Server) renew(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	return dotterwire.StoreAnswer{}, s.store.Renew(ctx, call.Lease)
}

func (s *Server) revoke(ctx context.Context, call dotterwire.StoreCall) (dotterwire.StoreAnswer, error) {
	return dotterwire.StoreAnswer{}, s.store.Revoke(ctx, call.Lease)
}
