package dotterboard

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// ownLoad names the part of a serving task's tail that it causes itself.
	ownLoad = "own"
	// modelTerms bounds the interference model: some hundred images, each with each other.
	modelTerms = 1 << 14
	// settleSpan is how long a reported tail still shows the time before a change:
	// workers report the tail of the last half second.
	settleSpan = 600 * dotterclock.Millisecond
)

// learned is what the board has learned about images beside each other.
//
// The model's unit is the target: a tail at its target is an excess of 1.
type learned struct {
	model *dotterinterference.Model
}

func newLearned() learned {
	return learned{model: dotterinterference.New(modelTerms)}
}

// observe takes in the tail of a serving task beside the others on its worker.
func (l learned) observe(now dotterclock.Millis, w *worker, victim *task) {
	beside := map[string]*dotterinterference.Corunner{}
	settled := now-victim.startedAt > settleSpan
	for _, t := range w.runs {
		if t == victim || t.phase != running || t.step.Image == "" || t.pace == 0 {
			continue
		}
		if now-t.startedAt < settleSpan {
			settled = false
		}
		c, ok := beside[t.step.Image]
		if !ok {
			c = &dotterinterference.Corunner{Template: t.step.Image, Share: t.step.Size.DominantShare(w.Capacity)}
			beside[t.step.Image] = c
		}
		c.Weight += float64(t.pace) / 100
	}
	s := dotterinterference.Sample{
		At: now, Victim: victim.step.Image, Slowdown: 1 + ratio(victim), Unsettled: !settled,
		Corunners: []dotterinterference.Corunner{{Template: ownLoad, Weight: 1}},
	}
	for _, c := range beside {
		s.Corunners = append(s.Corunners, *c)
	}
	l.model.Observe(s)
}

// effect returns what one more task of the step adds to the tail of the victim, in targets.
func (l learned) effect(now dotterclock.Millis, w *worker, victim *task, s *dotterjob.Step) float64 {
	return l.model.Predict(now, victim.step.Image, s.Image, s.Size.DominantShare(w.Capacity)).Mean
}

// ratio returns a serving task's tail over its target.
func ratio(t *task) float64 {
	if t.step.TailTarget <= 0 {
		return 0
	}
	return float64(t.tail) / float64(t.step.TailTarget)
}
