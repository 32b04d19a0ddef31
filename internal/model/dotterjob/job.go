package dotterjob

import (
	"strconv"

	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Limits of a job.
const (
	MaxSpecBytes = 4000 // limit set by the platform
	MaxSteps     = 64   // bounds the memory of one job, far above the size of real jobs
	MaxTasks     = 4096 // per occurrence; same reason as MaxSteps
	MaxTimes     = 4096 // occurrences; same reason as MaxSteps
	MaxAmount    = 1e9  // of a task's processor time, memory and accelerators; keeps sums within range

	MaxEstimate = 365 * 24 * 3600 * dotterclock.Second // same reason as MaxAmount
)

// Job is a job as submitted by its caller.
type Job struct {
	ID         ID
	Queue      string
	Tenant     string             `json:",omitempty"` // that submitted it; empty: none, as on public queues
	AcceptedAt dotterclock.Millis // on the clock of the host that accepted it
	Spec       string
	Steps      []Step
	Times      int                `json:",omitempty"` // number of occurrences; 0 means that the job runs once, immediately
	FirstDue   dotterclock.Millis `json:",omitempty"` // when occurrence 0 is due
	Interval   dotterclock.Millis `json:",omitempty"` // time between the due times of consecutive occurrences
	Settings   *QueueSettings     `json:",omitempty"` // of the queue when the job was accepted; nil if an earlier version accepted it
}

// Occurrences returns how many times the steps run.
func (j Job) Occurrences() int {
	return max(1, j.Times)
}

// TasksPerOccurrence returns how many tasks the steps have.
func (j Job) TasksPerOccurrence() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// Memory of what a scheduler holds for a job, without texts and lists, in bytes.
const (
	jobBytes  = 1 << 10
	stepBytes = 1 << 10
)

// Footprint returns about how much memory a scheduler holds for the job while nothing of it runs, in bytes.
func (j Job) Footprint() int64 {
	n := jobBytes + len(j.Spec)
	for _, s := range j.Steps {
		n += stepBytes + len(s.Label) + len(s.DataRack) + len(s.Image) + 8*len(s.After)
	}
	return int64(n)
}

// DueAt returns the time from which the occurrence may start; 0 means immediately.
func (j Job) DueAt(occurrence int) dotterclock.Millis {
	if j.Times == 0 {
		return 0
	}
	return j.FirstDue + dotterclock.Millis(occurrence)*j.Interval
}

// CriticalPath returns the length of the job's critical path: the largest sum of estimates
// along a chain of dependent steps.
func (j Job) CriticalPath() dotterclock.Millis {
	lengths := make([]dotterclock.Millis, len(j.Steps))
	longest := dotterclock.Millis(0)
	for i, s := range j.Steps {
		for _, after := range s.After {
			lengths[i] = max(lengths[i], lengths[after])
		}
		lengths[i] += s.Estimate
		longest = max(longest, lengths[i])
	}
	return longest
}

// Check returns a *dottercheck.Faults with every invalid field, named by its JSON
// pointer in the request, or nil.
func (j Job) Check() error {
	var c dottercheck.Checker
	if !j.ID.Valid() {
		c.Fail("/Id", "is not 16 hexadecimal digits")
	}
	dottercheck.Range(&c, "/Spec", len(j.Spec), 0, MaxSpecBytes, "bytes")
	dottercheck.Range(&c, "/Steps", len(j.Steps), 1, MaxSteps, "steps")
	dottercheck.Range(&c, "/Times", j.Times, 0, MaxTimes, "")
	if j.Times > 1 && j.Interval <= 0 {
		c.Fail("/IntervalMs", "must be above 0 for a job that repeats")
	}
	tasks := 0
	for i, s := range j.Steps {
		at := "/Steps/" + strconv.Itoa(i)
		dottercheck.Range(&c, at+"/Count", s.Count, 1, MaxTasks, "tasks")
		tasks += s.Count
		if s.Size.MilliCores < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 {
			c.Fail(at, "asks for a negative amount of room")
		}
		if max(s.Size.MilliCores, s.Size.MemoryMB, s.Size.Accelerators) > MaxAmount {
			c.Fail(at, "asks for more room than any worker has")
		}
		dottercheck.Range(&c, at+"/EstimateMs", s.Estimate, 0, MaxEstimate, "ms")
		for _, after := range s.After {
			if after < 0 || after >= i {
				c.Fail(at+"/After", "names step "+strconv.Itoa(after)+", which is no earlier one")
			}
		}
	}
	dottercheck.Range(&c, "/Steps", tasks, 1, MaxTasks, "tasks in all")
	return c.Err("job " + string(j.ID))
}
