package dotterboard

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// maxWaitingScheduled bounds the waiting tasks of scheduled jobs that a board holds beyond one
// occurrence a job. After an outage, many occurrences are due at once.
const maxWaitingScheduled = 16_384

// occurrence is one execution of a job's steps; recurring jobs have several.
type occurrence struct {
	job    *job
	number int
	due    dotterclock.Millis // by the wall clock; 0: immediately
	steps  []*step
	open   int // number of steps that are not done
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number, due: j.DueAt(number), open: len(j.Steps)}
	for i, s := range j.Steps {
		o.steps = append(o.steps, newStep(o, i, s))
	}
	return o
}

// waiting returns the number of tasks that are neither bound nor done.
func (o *occurrence) waiting() int {
	n := 0
	for _, s := range o.steps {
		n += s.waiting
	}
	return n
}

// find returns the position of the occurrence with the number among the open ones, and whether
// it is open.
func (j *job) find(number int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
}

// occurrence returns the open occurrence with the number, or nil.
func (j *job) occurrence(number int) *occurrence {
	i, found := j.find(number)
	if !found {
		return nil
	}
	return j.occurrences[i]
}

// openOccurrence returns the occurrence with the number, which it opens if need be.
func (j *job) openOccurrence(number int) *occurrence {
	i, found := j.find(number)
	if !found {
		j.occurrences = slices.Insert(j.occurrences, i, newOccurrence(j, number))
	}
	return j.occurrences[i]
}

// openNext opens the first occurrence that was never opened.
func (j *job) openNext() *occurrence {
	j.next++
	return j.openOccurrence(j.next - 1)
}

// openRecorded opens the occurrences that a record shows as begun and not done. Occurrences that
// it leaves out have not begun, or are not in this shard, or no longer matter.
func (j *job) openRecorded(r Record) {
	recorded, doneSteps := map[int]bool{}, map[int]int{}
	last := -1
	for _, s := range r.Steps {
		recorded[s.Occurrence] = true
		last = max(last, s.Occurrence)
		if s.Done {
			doneSteps[s.Occurrence]++
		}
	}
	if r.Visiting || r.Outcome != "" {
		for number := range recorded {
			j.openOccurrence(number)
		}
		return
	}
	for _, o := range j.occurrences {
		last = max(last, o.number)
	}
	for ; j.next <= last; j.next++ {
		if doneSteps[j.next] < len(j.Steps) {
			j.openOccurrence(j.next)
		}
	}
}

// hasDone reports whether the occurrence is done and no longer open.
func (j *job) hasDone(number int) bool {
	return number < j.next && j.occurrence(number) == nil
}

// openAway is openRecorded for a job of which the tasks in the record are about to arrive: all
// tasks of the occurrences that it opens are away.
func (j *job) openAway(r Record) {
	here := slices.Clone(j.occurrences)
	j.openRecorded(r)
	for _, o := range j.occurrences {
		if !slices.Contains(here, o) {
			o.setAway()
		}
	}
}

// setAway marks all tasks as handed over.
func (o *occurrence) setAway() {
	for _, s := range o.steps {
		for _, t := range s.allTasks() {
			t.setAway()
		}
	}
}

// doneOccurrences calls visit with the number of each occurrence that is done and no longer open,
// in the order of the numbers.
func (j *job) doneOccurrences(visit func(number int)) {
	open := j.occurrences
	for number := range j.next {
		if len(open) > 0 && open[0].number == number {
			open = open[1:]
			continue
		}
		visit(number)
	}
}

// closeDone forgets the steps and tasks of an occurrence that is done. A job that runs once keeps
// them until it is closed.
func (b *Board) closeDone(now dotterclock.Millis, o *occurrence) {
	j := o.job
	if j.Times == 0 {
		return
	}
	for _, s := range o.steps {
		s.endHold(now)
	}
	j.occurrences = slices.DeleteFunc(j.occurrences, func(other *occurrence) bool { return other == o })
	b.markDirty(j)
	if !j.isDivided() {
		return
	}
	for n := j.partOf(o.number, 0, 0); n <= j.partOf(o.number+1, 0, -1); n++ {
		if p, ok := j.parts[n]; ok {
			p.dirty = true // its rows of the occurrence are dropped
		}
	}
}

// openNumbers returns the numbers of the open occurrences.
func (j *job) openNumbers() []int {
	var numbers []int
	for _, o := range j.occurrences {
		numbers = append(numbers, o.number)
	}
	return numbers
}

// isDone reports whether all occurrences are done.
func (j *job) isDone() bool {
	return j.next == j.Occurrences() && !slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o.open > 0 })
}

// nextDue returns when the first occurrence that was never opened is due, by the wall clock, or
// false if there is none.
func (j *job) nextDue() (dotterclock.Millis, bool) {
	if j.Times == 0 || j.next >= j.Times || j.visiting || j.leaving || j.outcome != "" {
		return 0, false
	}
	return j.DueAt(j.next), true
}

// isWaiting reports whether any task of an open occurrence is neither bound nor done.
func (j *job) isWaiting() bool {
	return slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o.waiting() > 0 })
}

// openDue opens the occurrences that are due. A job with waiting tasks gets further ones only
// while few tasks of scheduled jobs wait; the others remain due. It returns how long it takes
// until the next one is due, or false if none will be.
func (b *Board) openDue(wall dotterclock.Millis) (after dotterclock.Millis, ok bool) {
	var due []*job
	for _, j := range b.open {
		at, scheduled := j.nextDue()
		switch {
		case !scheduled:
		case at <= wall:
			due = append(due, j)
		case !ok || at-wall < after:
			after, ok = at-wall, true
		}
	}
	before := b.unopened
	b.unopened = 0
	if len(due) == 0 {
		return after, ok
	}
	waiting := b.waitingScheduled()
	// In turn, so that the backlog of one job does not take all that may wait.
	for len(due) > 0 {
		due = slices.DeleteFunc(due, func(j *job) bool {
			if at, scheduled := j.nextDue(); !scheduled || at > wall {
				return true
			}
			if waiting+j.TasksPerOccurrence() > maxWaitingScheduled && j.isWaiting() {
				b.unopened++
				return true
			}
			waiting += j.openNext().waiting()
			return false
		})
	}
	if b.unopened > 0 && before == 0 {
		b.logger.Warn("occurrences that are due wait for tasks of earlier ones to start",
			zap.Int("Jobs", b.unopened), zap.Int("Waiting", waiting), zap.Int("Limit", maxWaitingScheduled))
	}
	return after, ok
}

// waitingScheduled returns the number of waiting tasks of scheduled jobs.
func (b *Board) waitingScheduled() int {
	n := 0
	for _, j := range b.open {
		if j.Times == 0 {
			continue
		}
		for _, o := range j.occurrences {
			n += o.waiting()
		}
	}
	return n
}

// doneRecord returns the records of the steps of an occurrence that is done.
func doneRecord(j dotterjob.Job, number int) []StepRecord {
	var steps []StepRecord
	for i := range j.Steps {
		steps = append(steps, StepRecord{Occurrence: number, Step: i, Done: true})
	}
	return steps
}
