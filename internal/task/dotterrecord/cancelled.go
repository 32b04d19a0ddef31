package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Cancelled cancels tasks: queued ones end at once, bound ones when their attempt has ended.
type Cancelled struct {
	Tasks []dottertask.ID
	At    dotterclock.Millis
}
