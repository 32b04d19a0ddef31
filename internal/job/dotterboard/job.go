package dotterboard

import (
	"math/bits"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterqueues"
)

// smallestCores is the processor time of the smallest class of tasks, in thousandths of
// a core: the gaps that are usually left on a full worker take them.
const smallestCores = 6_000

// job is a job and how far it has come.
type job struct {
	dotterjob.Job
	queue       dotterqueues.Queue // as last configured
	seenAt      dotterclock.Millis // when it was accepted, on the owner's clock
	occurrences []*occurrence
	length      dotterclock.Millis // declared, of the longest chain of steps
	outcome     dotterjob.State    // final state decided; empty before
	outcomeAt   dotterclock.Millis
	shown       dotterjob.State    // final state that the store has; empty before
	begun       bool               // a task has started
	runs        int                // tasks that are bound
	idleSince   dotterclock.Millis // since when a task\'s turn has come and none is bound; 0: one is
	dirty       bool
	starts      []*task // bound since the last batch
	ends        []*end  // taken in since the last batch
}

// occurrence is one time that a job's steps run.
type occurrence struct {
	job    *job
	number int
	due    dotterclock.Millis // on the time of day; 0: at once
	steps  []*step
	open   int // steps that are not done
}

// step is the tasks of one step of one occurrence.
type step struct {
	dotterjob.Step
	occurrence *occurrence
	number     int
	tasks      []*task
	waiting    int // tasks that are not bound and not done
	done       int
	readyAt    dotterclock.Millis // when its tasks were first seen to be ready; 0: not yet
	remaining  dotterclock.Millis // declared length of the longest chain of steps from this one on
	samples    []speedSample      // of its tasks
	users      trend              // serving: the load that its users cause
	tickets    *tickets           // admission of workers, where the queue has a policy
}

func newJob(j dotterjob.Job, queue dotterqueues.Queue, seenAt dotterclock.Millis) *job {
	n := &job{Job: j, queue: queue, seenAt: seenAt, length: chain(j)}
	for k := range j.Occurrences() {
		o := &occurrence{job: n, number: k, due: j.DueAt(k), open: len(j.Steps)}
		for i, s := range j.Steps {
			o.steps = append(o.steps, newStep(o, i, s))
		}
		n.occurrences = append(n.occurrences, o)
	}
	return n
}

func newStep(o *occurrence, number int, s dotterjob.Step) *step {
	n := &step{Step: s, occurrence: o, number: number, waiting: s.Count, remaining: chainFrom(o.job.Steps, number)}
	for i := range s.Count {
		n.tasks = append(n.tasks, &task{step: n, index: i})
	}
	return n
}

// sizeClass returns the logarithm of the processor time that a task of the step takes
// away from others; filling ones take none.
func (s *step) sizeClass() int {
	return bits.Len64(uint64(s.Reserved().MilliCores / smallestCores))
}

// ready reports whether tasks of the step may start.
func (s *step) ready(wall dotterclock.Millis) bool {
	if s.occurrence.due > wall {
		return false
	}
	for _, after := range s.After {
		if before := s.occurrence.steps[after]; before.done < before.Count {
			return false
		}
	}
	return true
}

// state returns what callers are shown.
func (j *job) state() dotterjob.State {
	switch {
	case j.shown != "":
		return j.shown
	case j.begun:
		return dotterjob.Running
	}
	return dotterjob.Queued
}

// tasks calls visit for each task.
func (j *job) tasks(visit func(*task)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				visit(t)
			}
		}
	}
}

// chain returns the declared length of the job's longest chain of steps.
func chain(j dotterjob.Job) dotterclock.Millis {
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

// chainFrom returns the declared length of the longest chain of steps that begins with
// the one of the number.
func chainFrom(steps []dotterjob.Step, number int) dotterclock.Millis {
	lengths := make([]dotterclock.Millis, len(steps))
	longest := dotterclock.Millis(0)
	lengths[number] = steps[number].Estimate
	for i := number; i < len(steps); i++ {
		for _, after := range steps[i].After {
			if lengths[after] > 0 {
				lengths[i] = max(lengths[i], lengths[after]+steps[i].Estimate)
			}
		}
		longest = max(longest, lengths[i])
	}
	return longest
}

// releaseTime returns the instant from which the occurrence's users wait for it.
func (o *occurrence) releaseTime(wall, now dotterclock.Millis) dotterclock.Millis {
	if o.due > 0 {
		return now + o.due - wall
	}
	return o.job.seenAt
}

// objective returns by when the occurrence should be done.
func (o *occurrence) objective(wall, now dotterclock.Millis) dotterclock.Millis {
	stretch := max(1, o.job.queue.Stretch)
	return o.releaseTime(wall, now) + dotterclock.Millis(stretch*float64(o.job.length)) + o.job.queue.Target
}

// deleteJob returns jobs without j.
func deleteJob(jobs []*job, j *job) []*job {
	return slices.DeleteFunc(jobs, func(o *job) bool { return o == j })
}
