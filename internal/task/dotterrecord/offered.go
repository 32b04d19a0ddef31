package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Offered reserves queued tasks for the shard Target until that shard has accepted
// or refused them. An empty target puts refused tasks back into the queue.
type Offered struct {
	Tasks  []dottertask.ID
	Target string             `json:",omitempty"`
	At     dotterclock.Millis `json:",omitempty"`
}
