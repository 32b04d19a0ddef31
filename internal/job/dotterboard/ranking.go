package dotterboard

import (
	"container/heap"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// ranking is a heap of the workers that may get a task of a step. Binding a task changes
// only the score of the worker that gets it, so that only this worker is scored again.
type ranking struct {
	plan      *plan
	step      *step
	reserved  dotterroom.Room
	workers   workerHeap
	obstacles [obstacleKinds]int // number of workers ruled out, by reason
	trial     bool               // for a run on trial
	starving  bool               // the load limit is ignored to end the starvation of the job
}

// rank scores all workers of the step's service for a task of the step. If none is
// acceptable and the job is starving, the load limit is ignored.
func (p *plan) rank(s *step) *ranking {
	return p.rankAll(&ranking{plan: p, step: s, reserved: s.Reserved()})
}

// rankForTrial does the same for a run on trial, and prefers workers on which little is at
// stake.
func (p *plan) rankForTrial(s *step) *ranking {
	return p.rankAll(&ranking{plan: p, step: s, reserved: s.Reserved(), trial: true})
}

// rankAll fills in a ranking of all workers of the step's service.
func (p *plan) rankAll(r *ranking) *ranking {
	s := r.step
	p.board.counters.Rankings++
	for _, w := range p.workers[s.occurrence.job.queue.Service] {
		if score, ok := r.score(w); ok {
			r.workers = append(r.workers, scoredWorker{worker: w, score: score})
		}
	}
	if len(r.workers) == 0 && p.isStarving(s) {
		r.rankStarving()
	}
	heap.Init(&r.workers)
	return r
}

// rankStarving ranks the workers without an obstacle other than load, the lowest
// predicted load of their serving tasks first.
func (r *ranking) rankStarving() {
	r.starving = true
	for _, w := range r.plan.workers[r.step.occurrence.job.queue.Service] {
		l := r.plan.load(w)
		if r.plan.obstacle(l, r.step, r.reserved) == noObstacle {
			highest, _ := r.plan.board.predictPeakLoad(r.plan.now, l, r.step)
			r.workers = append(r.workers, scoredWorker{worker: w, score: -highest})
		}
	}
}

// score returns the worker's score for one more task, or false if it gets none; the
// reason is counted in obstacles.
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
	if r.trial {
		score -= r.exposure(w)
	}
	return score, ok
}

const (
	// lastingExposure is the cost in a worker's score for a suspect of each long-running task
	// there. It outweighs how full the worker is.
	lastingExposure = 1.0
	// youngExposure is the same for each run that has just started there, or is about to: after
	// a crash it would be suspect too.
	youngExposure = 5.0
	// freshExposure is the same for a worker that has not been up for freshWorkerAge: workers
	// that crash for other reasons do so again.
	freshExposure = 20.0
	// freshWorkerAge is the time that a worker has to be up for a suspect to prefer it.
	freshWorkerAge = 10 * dotterclock.Second
)

// exposure returns what is at stake if the worker crashes under a suspect, and how little
// that would tell.
func (r *ranking) exposure(w *worker) float64 {
	cost := 0.0
	for _, t := range w.runs {
		if t.step.LongRunning {
			cost += lastingExposure
		}
		if t.sentAt == 0 || t.isYoung(w) {
			cost += youngExposure
		}
	}
	if w.StartedAt > 0 && r.plan.wall-w.StartedAt < freshWorkerAge {
		cost += freshExposure
	}
	return cost
}

// best returns the worker with the highest score, or nil if there is none.
func (r *ranking) best() *worker {
	if len(r.workers) == 0 {
		return nil
	}
	return r.workers[0].worker
}

// update scores the best worker again after a task was bound to it. For tasks that spread over
// failure domains it lowers other scores too: it goes on until the best score is up to date.
func (r *ranking) update() {
	spreads := r.plan.board.restarts(r.step)
	for len(r.workers) > 0 {
		previous := r.workers[0].score
		score, ok := r.score(r.workers[0].worker)
		if ok {
			r.workers[0].score = score
			heap.Fix(&r.workers, 0)
		} else {
			heap.Pop(&r.workers)
		}
		if !spreads || ok && score == previous {
			return
		}
	}
}

// scoredWorker is a worker with its score for a task of the step.
type scoredWorker struct {
	worker *worker
	score  float64
}

// workerHeap is a max-heap of workers by score, for container/heap. Workers of equal
// score are ordered by ID.
type workerHeap []scoredWorker

// Len implements heap.Interface.
func (h workerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h workerHeap) Less(i, j int) bool {
	if h[i].score != h[j].score {
		return h[i].score > h[j].score
	}
	return h[i].worker.ID < h[j].worker.ID
}

// Swap implements heap.Interface.
func (h workerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *workerHeap) Push(x any) { *h = append(*h, x.(scoredWorker)) }

// Pop implements heap.Interface.
func (h *workerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
