package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Moved records that the shard Target has logged the tasks and now has them.
type Moved struct {
	Tasks  []dottertask.ID
	Target string
	At     dotterclock.Millis
}
