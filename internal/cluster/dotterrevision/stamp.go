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

// errStamp means that the stamp in the store can't be decoded.
var errStamp = eris.New("configuration: the stamp can't be decoded")

// stamp is a small key that tells whether a document is current without reading
// the document, which may be large. It is raised to a revision before the
// document of that revision is written, and never lowered. So a document that
// bears the stamp's revision is the newest that the store holds. A stamp that is
// ahead belongs to an edit that is under way or was given up.
type stamp struct {
	Revision int64
}

// readStamp returns the stamp in the store; an absent one is zero.
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
		return s, 0, eris.Wrap(errStamp, err.Error())
	}
	return s, e.Version, nil
}

// raiseStamp makes the stamp in the store at least revision. After an error it
// may be.
func raiseStamp(ctx context.Context, store dotterelusher.Store, revision int64) error {
	s, version, err := readStamp(ctx, store)
	if err != nil || s.Revision >= revision {
		return err
	}
	value, err := json.Marshal(stamp{Revision: revision})
	if err != nil {
		return eris.Wrap(errStamp, err.Error())
	}
	_, err = store.Put(ctx, stampKey, value, version, "")
	return err
}
