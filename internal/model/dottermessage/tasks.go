package dottermessage

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// SubmitRequest is the body of POST /v1/tasks.
type SubmitRequest struct {
	Submissions []dottersubmission.Submission
}

// submissionBytes is about how much memory a submission takes until it is answered, without its
// texts: decoded, as a task, and in the answer.
const submissionBytes = 600

// Footprint returns about how much memory the request takes until it is answered, in bytes.
func (r SubmitRequest) Footprint() int64 {
	n := int64(0)
	for _, s := range r.Submissions {
		n += submissionBytes + int64(len(s.Template)+len(s.Key)+2*len(s.Payload))
	}
	return n
}

// SubmitAnswer is the answer to POST /v1/tasks, with the tasks in the order of the submissions.
type SubmitAnswer struct {
	Tasks []dottertask.Task
}

// CancelRequest is the body of POST /v1/cancellations.
type CancelRequest struct {
	Tasks []dottertask.ID
}

// CancelAnswer is the answer to POST /v1/cancellations.
type CancelAnswer struct {
	Cancelled int // number of tasks that were not yet in a final state
}
