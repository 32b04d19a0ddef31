package dottersubmission

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Submission is a request for one task. Omitted fields default to those of the template.
type Submission struct {
	Template  string
	Key       string             `json:",omitempty"` // idempotency key; submissions of one team with the same key return the same task
	Size      dotterroom.Room    `json:",omitzero"`
	RunMillis dotterclock.Millis `json:",omitempty"`
	Payload   string             `json:",omitempty"`
	Urgent    bool               `json:",omitempty"`
}
