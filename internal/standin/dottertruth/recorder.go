package dottertruth

import "github.com/dotterelusher/dotterelusher"

// Recorder collects records from workers, backend servers and the store. Each of
// the three kinds of records has its own lock.
type Recorder struct {
	clock      dotterelusher.Clock
	violations *violations
	*taskRecords
	*requestRecords
	*callRecords
}

// NewRecorder returns a recorder that takes its timestamps from clock.
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

// Truth returns all records except the executions of requests.
func (r *Recorder) Truth() Truth {
	truth := Truth{Now: r.clock.Now()}
	r.taskRecords.copyTo(&truth)
	r.requestRecords.copyTo(&truth)
	r.callRecords.copyTo(&truth)
	r.violations.copyTo(&truth)
	return truth
}

// Reset discards the records of ended runs and executions, the violations, the
// counters and the maxima. Runs, requests and connections that are still open
// stay recorded.
func (r *Recorder) Reset() {
	r.taskRecords.reset()
	r.requestRecords.reset()
	r.callRecords.reset()
	r.violations.reset()
}
