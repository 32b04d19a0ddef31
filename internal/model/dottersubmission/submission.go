package dottersubmission

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Submission asks for one task. Fields that are left out come from the template.
type Submission struct {
	Template  string
	Key       string             `json:",omitempty"` // idempotency key: the same key of the same team gives the same task
	Size      dotterroom.Room    `json:",omitzero"`
	RunMillis dotterclock.Millis `json:",omitempty"`
	Payload   string             `json:",omitempty"`
	Urgent    bool               `json:",omitempty"`
}
