package dotterboard

import (
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Transfer hands tasks of a job over from one shard to another. None of them is bound to
// a worker.
//
// The commit that removes the tasks from one shard writes the transfer for the other,
// whose commit applies and deletes it. So at any time exactly one shard may start a task,
// whichever owners are replaced meanwhile.
type Transfer struct {
	Job  dotterjob.Job
	Home bool `json:",omitempty"` // all tasks are handed over, and the receiver becomes the job's home
	// Complete tells that tasks which the record of a whole job leaves out have never started. Earlier versions, which do not set
	// it, also left out those that were done in a part that was done as a whole when its owner restored it.
	Complete bool   `json:",omitempty"`
	Record   Record // progress of the tasks that are handed over
	To       string `json:"-"` // the receiving shard

	parts []int // of the sender's progress that it has changed; they are stored with it
}

// setAway marks a waiting task as handed over.
func (t *task) setAway() {
	if t.phase == away {
		return
	}
	t.phase = away
	t.step.waiting--
	t.job().away++
}

// handOverTasks hands waiting tasks of one step over to another shard.
func (b *Board) handOverTasks(j *job, s *step, tasks []*task, to string) {
	r := StepRecord{Occurrence: s.occurrence.number, Step: s.number}
	for _, t := range tasks {
		r.Tasks = append(r.Tasks, TaskRecord{Index: t.index, Run: t.run, Failures: t.failures, Moves: t.moves + 1, Checkpoint: t.checkpoint, Crashes: t.crashes})
		t.setAway()
		b.markTask(t)
	}
	j.begun = true // the receiver does not report when the tasks start
	if j.visiting && j.runs == 0 && !j.hasTasks() {
		b.leave(j)
	}
	t := &Transfer{Job: j.Job, Record: Record{Begun: true, Moves: j.moves, Steps: []StepRecord{r}}, To: to}
	if j.isDivided() {
		t.parts = j.partsOf(r)
	}
	b.send(j, t, len(tasks))
}

// handOverJob hands all tasks of a job over to another shard, which becomes its home.
func (b *Board) handOverJob(j *job, to string) {
	j.moves++
	tasks := 0
	for _, o := range j.occurrences {
		tasks += o.waiting()
	}
	t := &Transfer{Job: j.Job, Home: true, Complete: true, Record: Record{Begun: j.begun, Moves: j.moves, Steps: b.newSteps(j)}, To: to}
	if j.isDivided() && len(j.partsOfRecord(t.Record)) > maxTransferParts {
		j.moves--
		return // its receiver could not store what it has begun in one commit
	}
	b.leave(j)
	b.send(j, t, tasks)
}

// leave marks a job of which all tasks were handed over.
func (b *Board) leave(j *job) {
	j.leaving = true
	b.open = deleteJob(b.open, j)
	b.forgetArrival(j)
}

func (b *Board) send(j *job, t *Transfer, tasks int) {
	j.outgoing = append(j.outgoing, t)
	b.counters.HandedOver += int64(tasks)
	done := 0
	if t.Home {
		done = j.countDone()
	}
	b.counters.DoneHandedOver += int64(done)
	b.logger.Info("tasks handed over", zap.String("Job", string(j.ID)), zap.String("To", t.To), zap.Bool("Home", t.Home),
		zap.Int("Tasks", tasks), zap.Int("Done", done), zap.Int("DoneRecorded", countDoneRecorded(j.Job, t.Record.Steps)), zap.Int("Moves", j.moves))
	b.markDirty(j)
}

// countDoneRecorded returns how many tasks of the job the records of its steps show as done.
func countDoneRecorded(j dotterjob.Job, steps []StepRecord) int {
	n := 0
	for _, s := range steps {
		if s.Done {
			n += j.Steps[s.Step].Count
		}
		for _, t := range s.Tasks {
			if t.Done {
				n++
			}
		}
	}
	return n
}

// hasTasks reports whether any task of the job is in this shard.
func (j *job) hasTasks() bool {
	has := j.isWaiting()
	j.forEachTask(func(t *task) { has = has || t.phase != away })
	return has
}

// Absorb applies a transfer to this shard that is stored under key; the job was accepted
// age ago. It does nothing if the transfer was applied before.
func (b *Board) Absorb(now, age dotterclock.Millis, key string, t Transfer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, applied := b.absorbed[key]; applied || b.excluded[t.Job.ID] {
		return
	}
	err := t.Job.Check()
	if err == nil {
		err = t.Record.check(t.Job)
	}
	if err != nil {
		b.exclude(t.Job.ID, err)
		return
	}
	b.absorbed[key] = 0
	j, ok := b.jobs[t.Job.ID]
	if !ok || j.leaving {
		j = b.addJob(now, age, t.Job)
		j.visiting = true
		for _, o := range j.occurrences {
			o.setAway()
		}
	}
	doneShown := countDoneRecorded(t.Job, t.Record.Steps)
	if t.Home && !t.Complete {
		t.Record.Steps = j.withOmittedDone(t.Record.Steps)
	}
	j.begun = j.begun || t.Record.Begun
	j.moves = max(j.moves, t.Record.Moves)
	j.account.Inherit() // the other shard's account stays there
	count := 0
	if t.Home {
		j.visiting = false
		j.openAway(t.Record)
		records := map[dotterjob.TaskID]TaskRecord{}
		for _, s := range t.Record.Steps {
			b.forEachRecorded(j, s, func(task *task, r TaskRecord) { records[task.id()] = r })
		}
		j.forEachTask(func(task *task) { count += b.takeIn(now, task, records[task.id()]) })
	} else {
		if j.visiting {
			j.openAway(Record{Visiting: true, Steps: t.Record.Steps})
		}
		for _, s := range t.Record.Steps {
			b.forEachRecorded(j, s, func(task *task, r TaskRecord) { count += b.takeIn(now, task, r) })
		}
	}
	parts := j.partsOfRecord(t.Record)
	for _, n := range parts {
		j.part(n).dirty = true
	}
	j.incoming = append(j.incoming, incoming{key: key, parts: parts})
	b.counters.Absorbed += int64(count)
	done := countDoneRecorded(j.Job, t.Record.Steps)
	b.counters.DoneAbsorbed += int64(done)
	b.logger.Info("tasks absorbed", zap.String("Job", string(j.ID)), zap.String("Key", key), zap.Bool("Home", t.Home),
		zap.Int("Tasks", count), zap.Int("Done", done), zap.Int("DoneInferred", done-doneShown), zap.Int("Moves", j.moves))
	b.markDirty(j)
	b.applyCancellation(now, j.ID)
}

// withOmittedDone returns the records of steps that an earlier version has handed over with the whole job, and in them the done tasks
// that it left out. Tasks of a step start in the order of their indexes, so a part of which it shows none, although a later
// task has started, is done. Where no later task has started, such a part can't be told from one that has not begun.
func (j *job) withOmittedDone(steps []StepRecord) []StepRecord {
	if !j.isDivided() {
		return steps
	}
	steps = slices.Clone(steps)
	for i, r := range steps {
		if declared := j.Steps[r.Step]; r.Done || declared.Gang || declared.LongRunning {
			continue
		}
		shown := j.partsOf(r)
		last := 0
		for _, t := range r.Tasks {
			last = max(last, t.Index)
		}
		steps[i].Tasks = slices.Clone(r.Tasks)
		for index := range last {
			if !slices.Contains(shown, j.partOf(r.Occurrence, r.Step, index)) {
				steps[i].Tasks = append(steps[i].Tasks, TaskRecord{Index: index, Done: true})
			}
		}
	}
	return steps
}

// forEachRecorded calls visit for each task in the record of a step.
func (b *Board) forEachRecorded(j *job, r StepRecord, visit func(*task, TaskRecord)) {
	o := j.occurrence(r.Occurrence)
	if o == nil || r.Step < 0 || r.Step >= len(o.steps) {
		return
	}
	s := o.steps[r.Step]
	if r.Done {
		for _, t := range s.allTasks() {
			visit(t, TaskRecord{Done: true})
		}
		return
	}
	for _, task := range r.Tasks {
		if task.Index >= 0 && task.Index < s.Count {
			visit(s.task(task.Index), task)
		}
	}
}

// takeIn makes a task that was away one of this shard, with its recorded progress. It
// returns the number of tasks taken in.
func (b *Board) takeIn(now dotterclock.Millis, t *task, r TaskRecord) int {
	if t.phase != away {
		return 0
	}
	t.takeBack()
	t.moves, t.arrivedAt = r.Moves, now
	t.runLost = t.runLost || r.Moves > 0 && r.Run > 0
	t.run, t.failures, t.failedRun, t.checkpoint = max(t.run, r.Run), max(t.failures, r.Failures), max(t.failedRun, r.FailedRun), r.Checkpoint
	if len(r.Crashes) > len(t.crashes) {
		t.crashes = r.Crashes
	}
	if r.Done {
		b.restoreDone(t)
	}
	t.noteRecorded(now)
	return 1
}
