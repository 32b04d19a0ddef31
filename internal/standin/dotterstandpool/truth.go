package dotterstandpool

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterrun"
)

// truth is what happened on the workers.
type truth struct {
	runs     map[dotterjob.TaskID]map[string]int // runs at work, by worker
	done     map[dotterjob.TaskID]bool           // ended done, by any run
	noted    map[dotterjob.TaskID]bool           // an end done was acknowledged
	failures map[dotterjob.TaskID]int
	starts   map[dotterjob.ID]int
	faults   []string
}

func newTruth() truth {
	return truth{
		runs: map[dotterjob.TaskID]map[string]int{}, done: map[dotterjob.TaskID]bool{}, noted: map[dotterjob.TaskID]bool{},
		failures: map[dotterjob.TaskID]int{}, starts: map[dotterjob.ID]int{},
	}
}

// noteStart records a start and judges it.
func (p *Pool) noteStart(w *Worker, r *run, s dotterrun.Start) {
	for _, other := range p.workers {
		if other != w {
			other.settle() // leases that have lapsed by now
		}
	}
	t := &p.truth
	t.starts[r.Task.Job]++
	j, ok := p.jobs[r.Task.Job]
	if !ok || r.Task.Step >= len(j.Steps) || s.Spec != j.Spec {
		p.fault("%s run %d was started on %s and nobody asked for it", r.Task, r.Run, w.ID)
		return
	}
	step := j.Steps[r.Task.Step]
	if t.runs[r.Task] == nil {
		t.runs[r.Task] = map[string]int{}
	}
	for other := range t.runs[r.Task] {
		p.fault("%s run %d was started on %s while a run is at work on %s", r.Task, r.Run, w.ID, other)
	}
	t.runs[r.Task][w.ID] = r.Run
	if t.noted[r.Task] && !step.LongRunning {
		p.fault("%s run %d was started on %s after an end done was acknowledged", r.Task, r.Run, w.ID)
	}
	for _, after := range step.After {
		for i := range j.Steps[after].Count {
			before := dotterjob.TaskID{Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: after, Index: i}
			if !t.done[before] {
				p.fault("%s was started before %s was done", r.Task, before)
			}
		}
	}
	if !p.reserved(w).Fits(w.Capacity) {
		p.fault("%s was started on %s, which is over its capacity with it", r.Task, w.ID)
	}
	if !w.HasLabel(step.Label) {
		p.fault("%s was started on %s, which lacks the label %s", r.Task, w.ID, step.Label)
	}
}

// noteEnd records an end.
func (p *Pool) noteEnd(w *Worker, r *run, ending dotterrun.Ending, _ dotterclock.Millis) {
	t := &p.truth
	delete(t.runs[r.Task], w.ID)
	switch ending {
	case dotterrun.Done:
		t.done[r.Task] = true
	case dotterrun.Failed:
		t.failures[r.Task]++
	}
}

// noteAcknowledged records that the owner has taken note of an end.
func (p *Pool) noteAcknowledged(e dotterrun.End) {
	if e.Ending == dotterrun.Done {
		p.truth.noted[e.Ref.Task] = true
	}
}
