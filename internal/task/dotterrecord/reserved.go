package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Reserved assigns an attempt to a worker. The attempt may start only after this
// record is in the log.
type Reserved struct {
	Task        dottertask.ID
	Attempt     int
	Worker      string
	Incarnation int64 `json:",omitempty"` // of the worker's process, as last reported
	Size        dotterroom.Room
}
