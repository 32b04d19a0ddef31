package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Reserved names the worker of an attempt; the attempt may start once this is in the log.
type Reserved struct {
	Task        dottertask.ID
	Attempt     int
	Worker      string
	Incarnation int64 `json:",omitempty"` // of the worker's process, as last heard
	Size        dotterroom.Room
}
