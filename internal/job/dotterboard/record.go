package dotterboard

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// ErrRecordInvalid means that a stored record is not one of the job's.
var ErrRecordInvalid = eris.New("board: invalid record")

// Record is the stored progress of a job.
type Record struct {
	Outcome  dotterjob.State `json:",omitempty"`
	Begun    bool            `json:",omitempty"`
	Visiting bool            `json:",omitempty"` // the job's home is another shard
	Moves    int             `json:",omitempty"` // how often the job was handed over to another home
	Steps    []StepRecord    `json:",omitempty"`
	Divided  *DividedRecord  `json:",omitempty"` // set if the progress of the tasks is stored in parts
	Closed   *ClosedJob      `json:",omitempty"` // set once nothing else of the job is stored
}

// DividedRecord is what the record of a divided job holds of its tasks. Those of occurrences
// below Next that are not in Open are done; the parts have the others.
type DividedRecord struct {
	Next int
	Open []int                `json:",omitempty"`
	Kept map[int][]StepRecord `json:",omitempty"` // by part: the progress of those that have no key of their own yet
}

// guardStep is the only step in the record of a divided job. Earlier versions, which do not know
// of parts, refuse the record because of it and leave the job as it is stored.
var guardStep = []StepRecord{{Occurrence: -1}}

// ClosedJob is what remains of a job that has a final state and no runs.
type ClosedJob struct {
	Queue      string
	Tenant     string             `json:",omitempty"`
	AcceptedAt dotterclock.Millis // on the clock of the host that accepted it
}

// StepRecord is the progress of a step that differs from its initial state.
type StepRecord struct {
	Occurrence int          `json:",omitempty"`
	Step       int          `json:",omitempty"`
	Done       bool         `json:",omitempty"` // all its tasks are done
	Tasks      []TaskRecord `json:",omitempty"`
}

// TaskRecord is the progress of a task that differs from its initial state.
type TaskRecord struct {
	Index      int     `json:",omitempty"`
	Done       bool    `json:",omitempty"`
	Away       bool    `json:",omitempty"` // handed over to another shard
	Run        int     `json:",omitempty"`
	Failures   int     `json:",omitempty"`
	FailedRun  int     `json:",omitempty"` // of a gang: its last run that is among Failures; earlier versions do not set it
	Moves      int     `json:",omitempty"` // in a transfer: handovers since the last run
	Worker     string  `json:",omitempty"` // to which the run is bound; empty: none
	Address    string  `json:",omitempty"` // of that worker, which may have left the directory when the record is read
	Checkpoint string  `json:",omitempty"`
	Crashes    crashes `json:",omitempty"` // since its last sound run
	Expired    []int   `json:",omitempty"` // earlier runs whose leases have certainly expired

	BoundAt dotterclock.Millis `json:",omitempty"` // time of day
	Pending int                `json:",omitempty"` // weight of the worker's crash once it is proved
}

func (b *Board) newRecord(j *job) Record {
	r := Record{Outcome: j.outcome, Begun: j.begun, Visiting: j.visiting, Moves: j.moves}
	if j.canClose() {
		r.Closed = &ClosedJob{Queue: j.Queue, Tenant: j.Tenant, AcceptedAt: j.AcceptedAt}
	}
	if j.isDivided() && j.outcome == "" {
		r.Steps, r.Divided = guardStep, &DividedRecord{Next: j.next, Open: j.openNumbers()}
		for n := range j.kept {
			if r.Divided.Kept == nil {
				r.Divided.Kept = map[int][]StepRecord{}
			}
			r.Divided.Kept[n] = b.newPartSteps(j, n)
		}
		return r
	}
	r.Steps = b.newSteps(j)
	return r
}

// newSteps returns the progress of all tasks. For a job with a final state, it holds only the tasks
// that are still bound, and nothing if the job is divided: its parts show at least these.
func (b *Board) newSteps(j *job) []StepRecord {
	var steps []StepRecord
	final := j.outcome != ""
	if final && j.isDivided() {
		return nil
	}
	if !final && !j.visiting {
		j.doneOccurrences(func(number int) { steps = append(steps, doneRecord(j.Job, number)...) })
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if step := b.newStepRecord(s, final, 0, s.Count); step.Done || len(step.Tasks) > 0 {
				steps = append(steps, step)
			}
		}
	}
	return steps
}

// newPartSteps returns the progress of the tasks in a part.
func (b *Board) newPartSteps(j *job, number int) []StepRecord {
	var steps []StepRecord
	j.forEachStepOf(number, func(s *step, low, high int) {
		if step := b.newStepRecord(s, false, low, high); step.Done || len(step.Tasks) > 0 {
			steps = append(steps, step)
		}
	})
	return steps
}

// newPartRecord returns the value of a part, or nil if it shows nothing.
func (b *Board) newPartRecord(j *job, number int) ([]byte, error) {
	if j.outcome != "" {
		return nil, nil
	}
	steps := b.newPartSteps(j, number)
	if len(steps) == 0 {
		return nil, nil
	}
	return json.Marshal(Record{Moves: j.moves, Steps: steps})
}

// newStepRecord returns the record of the tasks of a step with indexes from low to below high. For
// a job with a final state, it holds only those that are still bound.
func (b *Board) newStepRecord(s *step, final bool, low, high int) StepRecord {
	r := StepRecord{Occurrence: s.occurrence.number, Step: s.number}
	existing := s.tasks[min(low, len(s.tasks)):min(high, len(s.tasks))]
	if countDone(existing) == high-low {
		r.Done = !final
		return r
	}
	for _, t := range existing {
		if final && !t.isBound() || t.isInitial() {
			continue
		}
		task := TaskRecord{Index: t.index, Run: t.run, Away: t.phase == away}
		if !final {
			task.Done, task.Failures, task.FailedRun, task.Crashes, task.Expired = t.phase == done, t.failures, t.failedRun, t.crashes, t.expiredRuns
		}
		if t.isBound() {
			task.Worker, task.Address = t.worker.ID, t.worker.Address
			task.BoundAt, task.Pending = t.boundAt+b.wallOffset, b.pendingWeight(t)
		}
		if !task.Done && !final {
			task.Checkpoint = t.checkpoint
		}
		r.Tasks = append(r.Tasks, task)
	}
	return r
}

func countDone(tasks []*task) int {
	n := 0
	for _, t := range tasks {
		if t.phase == done {
			n++
		}
	}
	return n
}

// Outcome returns the final state in a stored record, empty if there is none, and whether
// a task of the job has started.
func Outcome(record []byte) (dotterjob.State, bool, error) {
	var r Record
	err := json.Unmarshal(record, &r)
	return r.Outcome, r.Begun, err
}

// check returns ErrRecordInvalid if the record is not one of the job's.
func (r Record) check(j dotterjob.Job) error {
	if r.Outcome != "" && !r.Outcome.Final() {
		return eris.Wrapf(ErrRecordInvalid, "outcome %q", r.Outcome)
	}
	if r.Divided != nil {
		return r.Divided.check(j)
	}
	return checkSteps(j, r.Steps)
}

// check returns ErrRecordInvalid if the record is not one of the job's.
func (r DividedRecord) check(j dotterjob.Job) error {
	if r.Next < 0 || r.Next > j.Occurrences() {
		return eris.Wrapf(ErrRecordInvalid, "next occurrence %d", r.Next)
	}
	for _, number := range r.Open {
		if number < 0 || number >= j.Occurrences() {
			return eris.Wrapf(ErrRecordInvalid, "open occurrence %d", number)
		}
	}
	var steps []StepRecord
	for _, n := range slices.Sorted(maps.Keys(r.Kept)) {
		steps = append(steps, r.Kept[n]...)
	}
	return checkSteps(j, steps)
}

// checkSteps returns ErrRecordInvalid if the records of steps are not of the job.
func checkSteps(j dotterjob.Job, steps []StepRecord) error {
	seen := map[dotterjob.TaskID]bool{}
	for _, s := range steps {
		if s.Occurrence < 0 || s.Occurrence >= j.Occurrences() || s.Step < 0 || s.Step >= len(j.Steps) {
			return eris.Wrapf(ErrRecordInvalid, "step %d of occurrence %d", s.Step, s.Occurrence)
		}
		if s.Done && len(s.Tasks) > 0 {
			return eris.Wrapf(ErrRecordInvalid, "step %d of occurrence %d is done and has open tasks", s.Step, s.Occurrence)
		}
		for _, t := range s.Tasks {
			id := dotterjob.TaskID{Job: j.ID, Occurrence: s.Occurrence, Step: s.Step, Index: t.Index}
			if t.Index < 0 || t.Index >= j.Steps[s.Step].Count || t.Run < 0 || seen[id] {
				return eris.Wrapf(ErrRecordInvalid, "task %s, run %d", id, t.Run)
			}
			seen[id] = true
		}
	}
	return nil
}

// Restore applies the stored progress of an accepted job. Runs in the record stay bound
// to their workers until those have listed their runs. After an error the job is as it was.
func (b *Board) Restore(now dotterclock.Millis, id dotterjob.ID, stored []byte) error {
	var r Record
	if err := json.Unmarshal(stored, &r); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[id]
	switch {
	case !ok && r.Closed != nil && r.Outcome.Final():
		b.restoreClosed(now, id, r)
		return nil
	case !ok:
		b.logger.Warn("stored progress of an unknown job", zap.String("Job", string(id)))
		return nil
	}
	if err := r.check(j.Job); err != nil {
		return err
	}
	j.begun, j.visiting, j.moves = r.Begun, r.Visiting, r.Moves
	if r.Begun || r.Moves > 0 {
		j.account.Inherit()
	}
	if r.Divided != nil {
		b.restoreDivided(now, j, *r.Divided)
	} else {
		b.restoreUndivided(now, j, r)
	}
	if r.Outcome != "" {
		j.outcome, j.storedOutcome, j.outcomeAt = r.Outcome, r.Outcome, now
		b.open = deleteJob(b.open, j)
	}
	return nil
}

// restoreUndivided applies a record that holds the progress of all tasks. If the job is divided,
// an earlier version wrote the record, and its parts get keys of their own from now on.
func (b *Board) restoreUndivided(now dotterclock.Millis, j *job, r Record) {
	j.openRecorded(r)
	for _, s := range r.Steps {
		if o := j.occurrence(s.Occurrence); o != nil {
			step := o.steps[s.Step]
			b.restoreStep(now, step, s, 0, step.Count)
		}
	}
	if !j.isDivided() || r.Outcome != "" {
		return
	}
	for _, s := range r.Steps {
		if j.occurrence(s.Occurrence) != nil {
			b.keep(j, j.partsOf(s))
		}
	}
}

// keep marks parts that the record holds, and schedules them for keys of their own.
func (b *Board) keep(j *job, numbers []int) {
	for _, n := range numbers {
		if j.kept == nil {
			j.kept = map[int]bool{}
		}
		j.kept[n] = true
		j.part(n).dirty = true
		b.markDirty(j)
	}
}

// restoreDivided applies the record of a divided job. Its parts follow.
func (b *Board) restoreDivided(now dotterclock.Millis, j *job, r DividedRecord) {
	j.recordDirty, j.next = false, r.Next
	if j.visiting {
		for _, o := range j.occurrences {
			o.setAway()
		}
	}
	for _, number := range r.Open {
		j.restoreOccurrence(number)
	}
	for _, n := range slices.Sorted(maps.Keys(r.Kept)) {
		b.restorePartSteps(now, j, n, r.Kept[n])
		b.keep(j, []int{n})
	}
}

// restoreOccurrence returns the occurrence with the number, which it opens if need be. A visiting
// job has only the tasks of it that its parts show.
func (j *job) restoreOccurrence(number int) *occurrence {
	o := j.occurrence(number)
	if o == nil {
		o = j.openOccurrence(number)
		if j.visiting {
			o.setAway()
		}
	}
	return o
}

// RestorePart applies the stored progress of a part of a job, after Restore. A part of a job that
// has left the shard is deleted. After an error the job is as it was.
func (b *Board) RestorePart(now dotterclock.Millis, key PartKey, stored []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[key.Job]
	switch {
	case b.excluded[key.Job]:
		return nil
	case !ok:
		b.orphans = append(b.orphans, key)
		return nil
	case j.closed || !j.isDivided():
		p := j.part(key.Number)
		p.stored, p.dirty = true, true
		b.schedule(j)
		return nil
	}
	var r Record
	if err := json.Unmarshal(stored, &r); err != nil {
		return err
	}
	if r.Moves != j.moves { // of an earlier stay of the job in this shard
		p := j.part(key.Number)
		p.stored, p.dirty = true, true
		b.schedule(j)
		return nil
	}
	if err := checkSteps(j.Job, r.Steps); err != nil {
		return err
	}
	for _, s := range r.Steps {
		if !slices.Contains(j.partsOf(s), key.Number) {
			return eris.Wrapf(ErrRecordInvalid, "step %d of occurrence %d in part %d", s.Step, s.Occurrence, key.Number)
		}
	}
	j.part(key.Number).stored = true
	b.restorePartSteps(now, j, key.Number, r.Steps)
	return nil
}

// restorePartSteps applies the progress of the tasks in a part.
func (b *Board) restorePartSteps(now dotterclock.Millis, j *job, number int, steps []StepRecord) {
	first := number * tasksPerPart
	for _, r := range steps {
		if j.hasDone(r.Occurrence) {
			continue
		}
		if !j.visiting && j.outcome == "" {
			for ; j.next <= r.Occurrence; j.next++ { // those before it were due, too
				j.openOccurrence(j.next)
			}
		}
		s := j.restoreOccurrence(r.Occurrence).steps[r.Step]
		at := r.Occurrence*j.perOccurrence + j.firstOfStep[r.Step]
		b.restoreStep(now, s, r, max(0, first-at), min(s.Count, first+tasksPerPart-at))
	}
}

// restoreClosed adds a job of which only the outcome is stored.
func (b *Board) restoreClosed(now dotterclock.Millis, id dotterjob.ID, r Record) {
	accepted := dotterjob.Job{ID: id, Queue: r.Closed.Queue, Tenant: r.Closed.Tenant, AcceptedAt: r.Closed.AcceptedAt}
	j := &job{
		Job: accepted, localAcceptedAt: accepted.AcceptedAt - b.wallOffset, begun: r.Begun, moves: r.Moves,
		outcome: r.Outcome, storedOutcome: r.Outcome, outcomeAt: now, stored: true, closed: true, footprint: accepted.Footprint(),
	}
	b.insertJob(j)
	b.noteArrival(j)
}

// restoreStep applies the record of the tasks of a step with indexes from low to below high.
func (b *Board) restoreStep(now dotterclock.Millis, s *step, r StepRecord, low, high int) {
	if r.Done {
		s.task(high - 1)
		for _, t := range s.tasks[low:high] {
			t.takeBack()
			b.restoreDone(t)
		}
		return
	}
	for _, task := range r.Tasks {
		t := s.task(task.Index)
		if !task.Away {
			t.takeBack()
		}
		t.run, t.failures, t.failedRun = task.Run, task.Failures, task.FailedRun
		t.checkpoint, t.crashes, t.expiredRuns = task.Checkpoint, task.Crashes, task.Expired
		switch {
		case task.Done:
			b.restoreDone(t)
		case task.Away:
			t.setAway()
		case task.Worker != "":
			b.restoreBound(now, t, task)
		}
		t.noteRecorded(now)
	}
}

// takeBack makes a task that is away a waiting one.
func (t *task) takeBack() {
	if t.phase == away {
		t.phase = waiting
		t.step.waiting++
		t.job().away--
	}
}

// restoreDone marks a task done without deciding the job's outcome.
func (b *Board) restoreDone(t *task) {
	if t.phase == done {
		return
	}
	t.phase = done
	t.step.waiting--
	t.step.done++
	if t.step.done == t.step.Count {
		t.step.occurrence.open--
	}
}

// restoreBound binds a run of the previous owner to its worker, which may be missing from
// the directory.
func (b *Board) restoreBound(now dotterclock.Millis, t *task, r TaskRecord) {
	w, ok := b.workers[r.Worker]
	if !ok {
		w = b.addWorker(dotterworker.Worker{ID: r.Worker, Address: r.Address})
		w.knownAt = r.Address
		w.absentSince = now
	}
	t.job().account.InheritRun(&t.account, now)
	t.phase, t.worker = inherited, w
	t.pace, t.paceWanted, t.paceUnknown = 100, 100, true
	if r.BoundAt != 0 {
		t.boundAt = r.BoundAt - b.wallOffset
		t.sentAt, t.inheritedWeight = t.boundAt, r.Pending
	}
	t.step.waiting--
	t.job().runs++
	b.reserve(w, t)
	w.beginTrial(t)
}
