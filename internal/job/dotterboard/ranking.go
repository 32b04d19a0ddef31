package dotterboard

import (
	"container/heap"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// ranking is the workers that may get a task of a step, best first. A task that is
// bound changes only the worker that it goes to, so that all others keep their place.
type ranking struct {
	plan      *plan
	step      *step
	reserved  dotterroom.Room
	workers   scored
	obstacles [obstacleKinds]int // why the other workers get none
	starving  bool               // no worker bears a task, and the job gets one all the same
}

// rank scores all workers for a task of the step.
func (p *plan) rank(s *step) *ranking {
	p.board.counters.Rankings++
	r := &ranking{plan: p, step: s, reserved: s.Reserved()}
	for _, w := range p.workers[s.occurrence.job.queue.Service] {
		if score, ok := r.score(w); ok {
			r.workers = append(r.workers, scoredWorker{worker: w, score: score})
		}
	}
	if len(r.workers) == 0 && p.isStarving(s) {
		r.starve()
	}
	heap.Init(&r.workers)
	return r
}

// starve ranks the workers that don't bear a task, by the harm that it is predicted to do.
func (r *ranking) starve() {
	r.starving = true
	for _, w := range r.plan.workers[r.step.occurrence.job.queue.Service] {
		l := r.plan.load(w)
		if r.plan.obstacle(l, r.step, r.reserved) == noObstacle {
			highest, _ := r.plan.board.pressed(r.plan.now, l, r.step)
			r.workers = append(r.workers, scoredWorker{worker: w, score: -highest})
		}
	}
}

// score returns the worker's score for one more task, or false if it gets none.
func (r *ranking) score(w *worker) (float64, bool) {
	l := r.plan.load(w)
	if o := r.plan.obstacle(l, r.step, r.reserved); o != noObstacle {
		r.obstacles[o]++
		return 0, false
	}
	score, ok := r.plan.board.score(r.plan.now, l, r.step)
	if !ok {
		r.obstacles[blockedLoad]++
	}
	return score, ok
}

// best returns the worker with the highest score, or nil if none gets a task.
func (r *ranking) best() *worker {
	if len(r.workers) == 0 {
		return nil
	}
	return r.workers[0].worker
}

// update scores the best worker again after it got a task.
func (r *ranking) update() {
	score, ok := r.score(r.workers[0].worker)
	if !ok {
		heap.Pop(&r.workers)
		return
	}
	r.workers[0].score = score
	heap.Fix(&r.workers, 0)
}

// scoredWorker is a worker with its score for a task of one step.
type scoredWorker struct {
	worker *worker
	score  float64
}

// scored is a heap of workers, the one with the highest score first; of equal ones,
// the one with the lower id.
type scored []scoredWorker

// Len implements heap.Interface.
func (s scored) Len() int { return len(s) }

// Less implements heap.Interface.
func (s scored) Less(i, j int) bool {
	if s[i].score != s[j].score {
		return s[i].score > s[j].score
	}
	return s[i].worker.ID < s[j].worker.ID
}

// Swap implements heap.Interface.
func (s scored) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *scored) Push(x any) { *s = append(*s, x.(scoredWorker)) }

// Pop implements heap.Interface.
func (s *scored) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
