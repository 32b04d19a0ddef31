package dotterrevision

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterkey"
)

// stampKey is the store key of the stamp.
const stampKey = "stamp/configuration"

// errMalformedStamp means that the stamp in the store cannot be decoded.
var errMalformedStamp = eris.New("configuration: the stamp can't be decoded")

// stamp is a small entry of the store that shows whether a document is current
// without reading the document, which may be large. It is raised to a revision
// before the document of that revision is written, and never lowered. A document
// with the same revision as the stamp is therefore the newest in the store. A stamp
// with a higher revision belongs to an edit that is in progress or was abandoned.
type stamp struct {
	Revision int64
}

// readStamp returns the stamp in the store and its version, both zero if there is
// none.
func readStamp(ctx context.Context, store dotterelusher.Store) (stamp, dotterkey.Version, error) {
	var s stamp
	e, err := store.Get(ctx, stampKey)
	if errors.Is(err, dotterelusher.ErrStoreNotFound) {
		return s, 0, nil
	}
	if err != nil {
		return s, 0, err
	}
	if err := json.Unmarshal(e.Value, &s); err != nil {
		return s, 0, eris.Wrap(errMalformedStamp, err.Error())
	}
	return s, e.Version, nil
}

// raiseStamp raises the stamp in the store to revision if it is lower. After an
// error the stamp may or may not have been raised.
func raiseStamp(ctx context.Context, store dotterelusher.Store, revision int64) error {
	s, version, err := readStamp(ctx, store)
	if err != nil || s.Revision >= revision {
		return err
	}
	value, err := json.Marshal(stamp{Revision: revision})
	if err != nil {
		return eris.Wrap(errMalformedStamp, err.Error())
	}
	_, err = store.Put(ctx, stampKey, value, version, "")
	return err
}
