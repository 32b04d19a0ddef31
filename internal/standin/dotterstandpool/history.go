package dotterstandpool

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

// history records the runs of all workers and the detected violations.
type history struct {
	runs         map[dotterjob.TaskID]map[string]int // active runs by worker
	done         map[dotterjob.TaskID]bool           // tasks that any run has finished
	acknowledged map[dotterjob.TaskID]bool           // tasks whose end with Done was acknowledged
	failures     map[dotterjob.TaskID]int
	starts       map[dotterjob.ID]int
	crashes      map[dotterjob.TaskID]int // workers that crashed under each deadly task
	taskStarts   map[dotterjob.TaskID]int
	startsAfter  map[dotterjob.TaskID]int // starts of each deadly task after maxCrashes
	resumes      map[gangRun]string       // checkpoint of the first start of each run of a gang
	violations   []string
}

// gangRun identifies a run of a gang.
type gangRun struct {
	step dotterrun.StepRef
	run  int
}

func newHistory() history {
	return history{
		runs: map[dotterjob.TaskID]map[string]int{}, done: map[dotterjob.TaskID]bool{}, acknowledged: map[dotterjob.TaskID]bool{},
		failures: map[dotterjob.TaskID]int{}, starts: map[dotterjob.ID]int{}, crashes: map[dotterjob.TaskID]int{}, startsAfter: map[dotterjob.TaskID]int{}, taskStarts: map[dotterjob.TaskID]int{},
		resumes: map[gangRun]string{},
	}
}

const (
	// maxCrashes is the number of workers that may crash under a task before it counts as
	// one that crashes workers.
	maxCrashes = 3
	// maxStartsAfter is the number of starts from then on that is a violation.
	maxStartsAfter = 3
)

// recordCrash records that a deadly run crashes its worker.
func (p *Pool) recordCrash(r *run) {
	p.history.crashes[r.Task]++
}

// recordStart records a start and the violations that it causes.
func (p *Pool) recordStart(w *Worker, r *run, s dotterrun.Start) {
	for _, other := range p.workers {
		if other != w {
			other.tick() // ends runs whose leases have expired by now
		}
	}
	h := &p.history
	h.starts[r.Task.Job]++
	h.taskStarts[r.Task]++
	j, ok := p.jobs[r.Task.Job]
	if !ok || r.Task.Step >= len(j.Steps) || s.Spec != j.Spec {
		p.addViolation("%s run %d was started on %s but belongs to no known job", r.Task, r.Run, w.ID)
		return
	}
	step := j.Steps[r.Task.Step]
	if h.runs[r.Task] == nil {
		h.runs[r.Task] = map[string]int{}
	}
	for other := range h.runs[r.Task] {
		p.addViolation("%s run %d was started on %s while a run is active on %s", r.Task, r.Run, w.ID, other)
	}
	h.runs[r.Task][w.ID] = r.Run
	if h.acknowledged[r.Task] && !step.LongRunning {
		p.addViolation("%s run %d was started on %s after the end of a finished run was acknowledged", r.Task, r.Run, w.ID)
	}
	for _, after := range step.After {
		if open := p.openTasks(j, r.Task.Occurrence, after); len(open) > 0 {
			p.addViolation("%s was started before %v were done", r.Task, open)
		}
	}
	if h.crashes[r.Task] >= maxCrashes {
		if h.startsAfter[r.Task]++; h.startsAfter[r.Task] == maxStartsAfter {
			p.addViolation("%s was started on %s, %d times after %d workers had crashed under it", r.Task, w.ID, maxStartsAfter, maxCrashes)
		}
	}
	if !p.reserved(w).Fits(w.Capacity) && (w.orderedAt >= w.previousUntil || !p.reserved(w).Fits(w.previous)) {
		var beside []dotterrun.Ref
		for _, other := range w.running {
			if other != r {
				beside = append(beside, other.Ref)
			}
		}
		p.addViolation("%s was started on %s and exceeds its capacity, beside %v", r.Task, w.ID, beside)
	}
	if step.Gang {
		key := gangRun{dotterrun.StepRef{Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step}, r.Run}
		first, started := h.resumes[key]
		if started && first != s.Resume {
			p.addViolation("%s run %d was started on %s from checkpoint %q, and another member of its gang from %q", r.Task, r.Run, w.ID, s.Resume, first)
		}
		h.resumes[key] = s.Resume
	}
	if beside := p.besideOnWorker(w, r); step.PerWorker > 0 && beside >= step.PerWorker {
		p.addViolation("%s was started on %s beside %d others of its step, which may have %d on a worker", r.Task, w.ID, beside, step.PerWorker)
	}
	if !w.HasLabel(step.Label) {
		p.addViolation("%s was started on %s, which does not have the label %s", r.Task, w.ID, step.Label)
	}
}

// besideOnWorker returns how many other runs of the run's step are active on the worker.
func (p *Pool) besideOnWorker(w *Worker, r *run) int {
	beside := 0
	for _, other := range w.running {
		if t := other.Task; t.Job == r.Task.Job && t.Occurrence == r.Task.Occurrence && t.Step == r.Task.Step && t != r.Task {
			beside++
		}
	}
	return beside
}

// openTasks returns the tasks of a step that are not done. A gang works as one: it is done
// when a member is.
func (p *Pool) openTasks(j dotterjob.Job, occurrence, step int) []dotterjob.TaskID {
	var open []dotterjob.TaskID
	for i := range j.Steps[step].Count {
		id := dotterjob.TaskID{Job: j.ID, Occurrence: occurrence, Step: step, Index: i}
		done := p.history.done[id]
		if done && j.Steps[step].Gang {
			return nil
		}
		if !done {
			open = append(open, id)
		}
	}
	return open
}

// recordEnd records the end of a run.
func (p *Pool) recordEnd(w *Worker, r *run, ending dotterrun.Ending, _ dotterclock.Millis) {
	h := &p.history
	delete(h.runs[r.Task], w.ID)
	switch ending {
	case dotterrun.Done:
		h.done[r.Task] = true
	case dotterrun.Failed:
		h.failures[r.Task]++
	}
}

// recordAcknowledgement records that the owner has acknowledged an end. One after which the worker's
// lease has expired is not the task's.
func (p *Pool) recordAcknowledgement(e dotterrun.End, expired bool) {
	if e.Ending == dotterrun.Done && !expired {
		p.history.acknowledged[e.Ref.Task] = true
	}
}
