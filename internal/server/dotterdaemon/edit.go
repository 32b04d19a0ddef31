package dotterdaemon

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/cluster/dotterrevision"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// editTimeout bounds the retries of an edit while store calls fail.
const editTimeout = 4 * dotterclock.Second

// edit implements dotterapi.EditFunc.
func (d *Daemon) edit(ctx context.Context, changeID string, change func(dotterconfig.Document) (dotterconfig.Document, error)) (dotterconfig.Document, error) {
	bounded, cancel := context.WithTimeout(ctx, editTimeout.Duration())
	defer cancel()
	document, err := d.cluster.editor.Edit(bounded, dotterrevision.Edit{ChangeID: changeID, Change: change})
	if errors.Is(err, dotterrevision.ErrEditUnknown) {
		return document, eris.Wrap(dotterelusher.ErrStoreIndeterminate, err.Error())
	}
	return document, err
}
