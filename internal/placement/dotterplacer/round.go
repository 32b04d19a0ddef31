package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterplan"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterfairshare"
)

// round is the working state of one Plan.
type round struct {
	placer  *Placer
	state   dotterplan.State
	workers []worker
	shares  *dotterfairshare.Shares
	blocked map[shape]bool // shapes that found no worker in this round
	plan    dotterplan.Plan
}

// shape is what makes two queued tasks alike for placement.
type shape struct {
	template string
	size     dotterroom.Room
	urgent   bool
}

func newRound(p *Placer, state dotterplan.State) *round {
	r := &round{placer: p, state: state, blocked: make(map[shape]bool)}
	r.workers = make([]worker, len(state.Workers))
	for i, w := range state.Workers {
		r.workers[i] = newWorker(w)
	}
	r.shares = dotterfairshare.New(state.Configuration, teamUse(state), state.Pool)
	return r
}

// teamUse returns what each team holds: as reported for the pool, and at least
// what it holds in this shard.
func teamUse(state dotterplan.State) map[string]dotterroom.Room {
	use := make(map[string]dotterroom.Room, len(state.TeamUse))
	for _, w := range state.Workers {
		for _, h := range w.Holders {
			use[h.Task.Team] = use[h.Task.Team].Add(h.Size)
		}
	}
	for name, room := range state.TeamUse {
		use[name] = use[name].Max(room)
	}
	return use
}

// place puts t on the best worker that has room for it.
func (r *round) place(t dottertask.Task) bool {
	size := t.Size
	s := shape{template: t.Template, size: size, urgent: t.Urgent}
	if r.blocked[s] || !r.shares.Allows(t.Team, size) {
		return false
	}
	w := r.best(size)
	if w == nil {
		r.blocked[s] = true
		return false
	}
	w.free = w.free.Sub(size)
	r.shares.Add(t.Team, size)
	r.plan.Assignments = append(r.plan.Assignments, dotterplan.Assignment{
		Task:   t.ID,
		Worker: w.host.Name,
		Size:   size,
		Reason: "lowest cost",
	})
	return true
}

func (r *round) best(size dotterroom.Room) *worker {
	var best *worker
	lowest := 0.0
	for i := range r.workers {
		w := &r.workers[i]
		if !w.usable || !size.Fits(w.free) {
			continue
		}
		cost := w.host.Capacity.Sub(w.free).DominantShare(w.host.Capacity)
		if best == nil || cost < lowest {
			best, lowest = w, cost
		}
	}
	return best
}
