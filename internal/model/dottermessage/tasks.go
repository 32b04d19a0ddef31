package dottermessage

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dottersubmission"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// SubmitRequest is the body of POST /v1/tasks.
type SubmitRequest struct {
	Submissions []dottersubmission.Submission
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
