package dotterboard

import (
	"maps"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

const (
	// tasksPerPart is how many tasks share a part. A change of one of them writes the part again.
	tasksPerPart = 64
	// maxUndividedTasks is the number of tasks, over all occurrences, up to which the progress of
	// a job is one value.
	maxUndividedTasks = 512
	// maxTransferParts bounds the parts of a job that is handed over: one commit stores them all.
	maxTransferParts = 12
)

// part is a range of the tasks of a divided job whose progress is a value of its own. Tasks are
// numbered by occurrence, step and index.
type part struct {
	changes
	dirty  bool // has changes to store
	stored bool // has a key in the store
}

// changes are what waits until the progress of a job, or of a part of it, is stored.
type changes struct {
	starts []*task // bound since the last batch
	ends   []*end  // received since the last batch
}

// prepend puts earlier changes before these.
func (c *changes) prepend(earlier changes) {
	c.starts, c.ends = append(earlier.starts, c.starts...), append(earlier.ends, c.ends...)
}

// incoming is a transfer that was applied and is not deleted yet.
type incoming struct {
	key   string
	parts []int // that it has changed; they are stored with its deletion
}

// isDivided reports whether the progress of the job is stored in parts.
func (j *job) isDivided() bool {
	return j.perOccurrence*j.Occurrences() > maxUndividedTasks
}

// partOf returns the number of the part that has a task.
func (j *job) partOf(occurrence, step, index int) int {
	return (occurrence*j.perOccurrence + j.firstOfStep[step] + index) / tasksPerPart
}

// partOf returns the number of the part that has the task.
func (t *task) partOf() int {
	return t.job().partOf(t.step.occurrence.number, t.step.number, t.index)
}

// part returns the part with the number, and creates it if need be.
func (j *job) part(number int) *part {
	p, ok := j.parts[number]
	if !ok {
		p = &part{}
		if j.parts == nil {
			j.parts = map[int]*part{}
		}
		j.parts[number] = p
	}
	return p
}

// partsOf returns the numbers of the parts that have the tasks of a step record, ascending.
func (j *job) partsOf(r StepRecord) []int {
	var numbers []int
	if r.Done {
		for n := j.partOf(r.Occurrence, r.Step, 0); n <= j.partOf(r.Occurrence, r.Step, j.Steps[r.Step].Count-1); n++ {
			numbers = append(numbers, n)
		}
		return numbers
	}
	for _, t := range r.Tasks {
		numbers = append(numbers, j.partOf(r.Occurrence, r.Step, t.Index))
	}
	slices.Sort(numbers)
	return slices.Compact(numbers)
}

// partsOfRecord returns the numbers of the parts that have the tasks of the record, ascending; none
// for a job that is not divided.
func (j *job) partsOfRecord(r Record) []int {
	if !j.isDivided() {
		return nil
	}
	numbers := map[int]bool{}
	for _, s := range r.Steps {
		for _, n := range j.partsOf(s) {
			numbers[n] = true
		}
	}
	return slices.Sorted(maps.Keys(numbers))
}

// forEachStepOf calls visit for each step of an open occurrence of which the part has tasks, those
// with indexes from low to below high.
func (j *job) forEachStepOf(number int, visit func(s *step, low, high int)) {
	first := number * tasksPerPart
	last := first + tasksPerPart
	for _, o := range j.occurrences {
		begin := o.number * j.perOccurrence
		if begin >= last || begin+j.perOccurrence <= first {
			continue
		}
		for _, s := range o.steps {
			at := begin + j.firstOfStep[s.number]
			if low, high := max(0, first-at), min(s.Count, last-at); low < high {
				visit(s, low, high)
			}
		}
	}
}

// dirtyParts returns the numbers of the parts with changes to store: those that hold back a start
// first, otherwise ascending.
func (j *job) dirtyParts() []int {
	var numbers, others []int
	for _, n := range slices.Sorted(maps.Keys(j.parts)) {
		switch p := j.parts[n]; {
		case !p.dirty:
		case len(p.starts) > 0:
			numbers = append(numbers, n)
		default:
			others = append(others, n)
		}
	}
	return append(numbers, others...)
}

// mergeParts moves what waits for parts to the record of a job that now has a final state. It needs
// no progress of its tasks any more.
func (j *job) mergeParts() {
	for _, n := range slices.Sorted(maps.Keys(j.parts)) {
		p := j.parts[n]
		j.ends = append(j.ends, p.ends...)
		p.changes, p.dirty = changes{}, false
		if !p.stored {
			delete(j.parts, n)
		}
	}
	j.kept = nil
}

// deleteParts schedules the deletion of all parts of a closed job.
func (j *job) deleteParts() {
	for _, p := range j.parts {
		p.dirty = true
	}
}

// handleStored records that a change of a part is stored.
func (j *job) handleStored(c PartChange) {
	p := j.part(c.Number)
	p.stored = c.Value != nil
	if !p.stored && !p.dirty {
		delete(j.parts, c.Number)
	}
}

// adoptOrphans makes the parts that the job left behind in this shard those of the job again. They
// are written or deleted with its progress.
func (b *Board) adoptOrphans(j *job) {
	b.orphans = slices.DeleteFunc(b.orphans, func(key PartKey) bool {
		if key.Job != j.ID {
			return false
		}
		p := j.part(key.Number)
		p.stored, p.dirty = true, true
		return true
	})
	if len(j.parts) > 0 {
		b.schedule(j)
	}
}

// PartKey identifies a part of a job's progress.
type PartKey struct {
	Job    dotterjob.ID
	Number int
}

// PartChange is a change of a part: its progress as JSON, or nil if it is deleted.
type PartChange struct {
	PartKey
	Value []byte
}
