package dottertruth

import "github.com/dotterelusher/dotterelusher"

// Recorder collects the truth. What workers did, what backend servers did and
// what the store was asked are each under their own lock.
type Recorder struct {
	clock      dotterelusher.Clock
	violations *violations
	*taskRecords
	*requestRecords
	*callRecords
}

// NewRecorder returns a recorder that stamps what it records with clock.
func NewRecorder(clock dotterelusher.Clock) *Recorder {
	violations := newViolations(clock)
	return &Recorder{
		clock:          clock,
		violations:     violations,
		taskRecords:    newTaskRecords(clock, violations),
		requestRecords: newRequestRecords(clock, violations),
		callRecords:    newCallRecords(),
	}
}

// Truth returns all that was recorded but for the executions.
func (r *Recorder) Truth() Truth {
	truth := Truth{Now: r.clock.Now()}
	r.taskRecords.copyTo(&truth)
	r.requestRecords.copyTo(&truth)
	r.callRecords.copyTo(&truth)
	r.violations.copyTo(&truth)
	return truth
}

// Reset forgets what has ended, and every count and highest value.
func (r *Recorder) Reset() {
	r.taskRecords.reset()
	r.requestRecords.reset()
	r.callRecords.reset()
	r.violations.reset()
}
