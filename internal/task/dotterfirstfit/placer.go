package dotterfirstfit

import (
	"sort"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterattempt"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Placer places by first fit.
type Placer struct{}

var _ dotterelusher.Placer = (*Placer)(nil)

// New returns a first-fit placer.
func New() *Placer {
	return &Placer{}
}

// Plan assigns queued tasks in order to the first worker with room.
func (p *Placer) Plan(state dotterplan.State) dotterplan.Plan {
	free := make([]dotterroom.Room, len(state.Workers))
	for i, w := range state.Workers {
		free[i] = w.Free()
	}
	queue := append([]dottertask.Task(nil), state.Queue...)
	sort.SliceStable(queue, func(i, j int) bool { return queue[i].Rank < queue[j].Rank })
	var plan dotterplan.Plan
	for _, t := range queue {
		i, ok := firstFit(state.Workers, free, t.Size)
		if !ok {
			continue
		}
		free[i] = free[i].Sub(t.Size)
		plan.Assignments = append(plan.Assignments, dotterplan.Assignment{
			Task: t.ID, Worker: state.Workers[i].Host.Name, Size: t.Size, Reason: "first fit",
		})
	}
	return plan
}

func firstFit(workers []dotterplan.Worker, free []dotterroom.Room, size dotterroom.Room) (int, bool) {
	for i, w := range workers {
		if w.Usable && size.Fits(free[i]) {
			return i, true
		}
	}
	return 0, false
}

// Observe does nothing.
func (p *Placer) Observe(dotterclock.Millis, string, []dotterattempt.Usage) {}

// Ended does nothing.
func (p *Placer) Ended(dotterclock.Millis, string, dottertask.Task, dotterattempt.Status) {}

// Admit refuses a task that is larger than every worker.
func (p *Placer) Admit(task dottertask.Task, workers []dotterplan.Worker) string {
	for _, w := range workers {
		if task.Size.Fits(w.Host.Capacity) {
			return ""
		}
	}
	if len(workers) == 0 {
		return ""
	}
	return "no worker is as large as " + task.Size.String()
}
