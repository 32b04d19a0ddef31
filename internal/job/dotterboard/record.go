package dotterboard

import (
	"encoding/json"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// Record is what the store holds of a job's progress.
type Record struct {
	Outcome dotterjob.State `json:",omitempty"`
	Begun   bool            `json:",omitempty"`
	Steps   []StepRecord    `json:",omitempty"`
}

// StepRecord is the progress of a step that is not as it was at first.
type StepRecord struct {
	Occurrence int          `json:",omitempty"`
	Step       int          `json:",omitempty"`
	Done       bool         `json:",omitempty"` // all its tasks are done
	Tasks      []TaskRecord `json:",omitempty"`
}

// TaskRecord is the progress of a task that is not as it was at first.
type TaskRecord struct {
	Index      int    `json:",omitempty"`
	Done       bool   `json:",omitempty"`
	Run        int    `json:",omitempty"`
	Failures   int    `json:",omitempty"`
	Worker     string `json:",omitempty"` // on which the run may be; empty: on none
	Checkpoint string `json:",omitempty"`
}

func newRecord(j *job) Record {
	r := Record{Outcome: j.outcome, Begun: j.begun}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if n := newStepRecord(s, j.outcome != ""); n.Done || len(n.Tasks) > 0 {
				r.Steps = append(r.Steps, n)
			}
		}
	}
	return r
}

// newStepRecord leaves out what does not matter once the job is over.
func newStepRecord(s *step, over bool) StepRecord {
	r := StepRecord{Occurrence: s.occurrence.number, Step: s.number}
	if s.done == s.Count {
		r.Done = !over
		return r
	}
	for _, t := range s.tasks {
		if over && !t.isBound() || t.run == 0 {
			continue
		}
		n := TaskRecord{Index: t.index, Run: t.run}
		if !over {
			n.Done, n.Failures = t.phase == done, t.failures
		}
		if t.isBound() {
			n.Worker = t.worker.ID
		}
		if !n.Done && !over {
			n.Checkpoint = t.checkpoint
		}
		r.Tasks = append(r.Tasks, n)
	}
	return r
}

// Outcome returns the final state in a stored record; empty if there is none.
func Outcome(record []byte) (dotterjob.State, bool, error) {
	var r Record
	err := json.Unmarshal(record, &r)
	return r.Outcome, r.Begun, err
}

// Restore takes in the stored progress of an accepted job. Runs that it names stay
// bound to their workers until those have listed what they run.
func (b *Board) Restore(now dotterclock.Millis, id dotterjob.ID, stored []byte) error {
	var r Record
	if err := json.Unmarshal(stored, &r); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	j, ok := b.jobs[id]
	if !ok {
		b.logger.Warn("progress of a job that was not accepted", zap.String("Job", string(id)))
		return nil
	}
	j.begun = r.Begun
	for _, s := range r.Steps {
		if s.Occurrence >= len(j.occurrences) || s.Step >= len(j.Steps) {
			continue
		}
		b.restoreStep(now, j.occurrences[s.Occurrence].steps[s.Step], s)
	}
	if r.Outcome != "" {
		j.outcome, j.shown, j.outcomeAt = r.Outcome, r.Outcome, now
		b.open = deleteJob(b.open, j)
	}
	return nil
}

func (b *Board) restoreStep(now dotterclock.Millis, s *step, r StepRecord) {
	if r.Done {
		for _, t := range s.tasks {
			b.restoreDone(t)
		}
		return
	}
	for _, n := range r.Tasks {
		if n.Index >= len(s.tasks) {
			continue
		}
		t := s.tasks[n.Index]
		t.run, t.failures, t.checkpoint = n.Run, n.Failures, n.Checkpoint
		switch {
		case n.Done:
			b.restoreDone(t)
		case n.Worker != "":
			b.inherit(now, t, n.Worker)
		}
	}
}

// restoreDone marks a task done without deciding anything.
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

// inherit binds a predecessor's run to its worker, which the directory may not show.
func (b *Board) inherit(now dotterclock.Millis, t *task, id string) {
	w, ok := b.workers[id]
	if !ok {
		w = b.addWorker(dotterworker.Worker{ID: id})
		w.absentSince = now
	}
	t.phase, t.worker = inherited, w
	t.pace, t.paceWanted = 100, 100
	t.step.waiting--
	w.reserved = w.reserved.Add(t.step.Reserved())
	w.runs[t.ref()] = t
}
