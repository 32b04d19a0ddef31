package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Moved says that the shard Target has logged the tasks.
type Moved struct {
	Tasks  []dottertask.ID
	Target string
	At     dotterclock.Millis
}
