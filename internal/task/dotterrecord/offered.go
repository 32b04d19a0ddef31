package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Offered binds queued tasks to another shard until that shard has taken or
// refused them; an empty target puts refused ones back.
type Offered struct {
	Tasks  []dottertask.ID
	Target string             `json:",omitempty"`
	At     dotterclock.Millis `json:",omitempty"`
}
