package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Cancelled cancels tasks. Queued tasks end at once; bound tasks end when their
// attempt has ended.
type Cancelled struct {
	Tasks []dottertask.ID
	At    dotterclock.Millis
}
