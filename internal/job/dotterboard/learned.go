package dotterboard

import (
	"encoding/json"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// modelTerms bounds the interference model: some hundred images, each with each other.
	modelTerms = 1 << 14
	// settleSpan is how long a reported tail still shows the time before a change:
	// workers report the tail of the last half second.
	settleSpan = 400 * dotterclock.Millisecond
	// quietTail is the tail of a serving task without load, in targets: services set
	// their targets at about five times of it.
	quietTail = 0.2
	// cappedLoad is the load from which a tail tells only that the task is overloaded.
	cappedLoad = 0.93
	// readingSpan is how often a worker measures a tail anew; until then its listings
	// repeat the last reading.
	readingSpan = 450 * dotterclock.Millisecond
	// fullUse is the part of a worker's processor time from which its tasks disturb each
	// other whatever their images are.
	fullUse = 0.97
	// pressVariation is the standard deviation of what a filling task adds to a serving
	// one's load, as a part of its mean: it changes within seconds.
	pressVariation = 0.4
	// readingLag is how old a reading is on average when it is made.
	readingLag = 250 * dotterclock.Millisecond
)

// pairPrior says that images disturb each other by pairs: most pairs not at all,
// some by several times their share of the host. Nothing is shared between victims.
func pairPrior() dotterinterference.Prior {
	return dotterinterference.Prior{
		PerShare: 0.4, GeneralVariance: 1e-6, SpecificVariance: 4,
		NoiseVariance: 0.003, ExcessNoise: 0, UnsettledNoise: 4, ForgetSpan: 300 * dotterclock.Second,
	}
}

// learned is what the board has learned about images beside each other.
//
// A serving task's tail grows with its load as in a queue, as quietTail/(1-load). The
// load is its own, which swings, and what filling tasks beside it add: their share of
// the host times a factor of the two images. Loads add up, tails don't, so the model
// is of loads.
type learned struct {
	model *dotterinterference.Model
}

func newLearned() learned {
	return learned{model: dotterinterference.NewWithPrior(modelTerms, pairPrior())}
}

// loadAt returns the load that a tail of so many targets tells of.
func loadAt(ratio float64) float64 {
	return max(0, 1-quietTail/max(ratio, quietTail))
}

// share returns the part of the worker that a filling task uses.
func share(now dotterclock.Millis, w *worker, t *task) float64 {
	return float64(use(now, t)) / float64(max(1, w.Capacity.MilliCores))
}

// observe takes in the tail of a serving task beside the others on its worker.
func (l learned) observe(now dotterclock.Millis, w *worker, victim *task) {
	load := loadAt(ratio(victim))
	own := &victim.step.userLoad
	own.advance(now)
	s := dotterinterference.Sample{
		At: now, Victim: victim.step.Image, Slowdown: 1 + load, Capped: load > cappedLoad,
		SelfEffect: own.now(),
	}
	beside, used := map[string]float64{}, 0.0
	for _, t := range w.runs {
		used += share(now, w, t)
		if t.phase != running || !t.step.Fills || t.step.Image == "" {
			continue
		}
		if now-t.startedAt < settleSpan || now-t.pacedAt < settleSpan {
			s.Unsettled = true
		}
		beside[t.step.Image] += share(now, w, t)
	}
	if used > fullUse {
		return // the load is not of the images' making alone
	}
	for image, share := range beside {
		s.Corunners = append(s.Corunners, dotterinterference.Corunner{Template: image, Weight: share, Share: 1})
	}
	own.correct(l.model.Observe(s))
}

// ownLoad returns the highest load that the users of a serving task are expected to
// cause until the instant.
func (t *task) ownLoad(now, until dotterclock.Millis) float64 {
	users := &t.step.userLoad
	return max(users.ahead(now), users.ahead(until))
}

// keptTerms is how many effects a successor is told of: some hundred images, each with
// the few that it meets.
const keptTerms = 1000

// Learned returns what the board has learned of images, for a successor.
func (b *Board) Learned(now dotterclock.Millis) ([]byte, error) {
	return json.Marshal(b.learned.model.Learned(now, keptTerms))
}

// RestoreLearned takes over what a predecessor had learned of images.
func (b *Board) RestoreLearned(now dotterclock.Millis, stored []byte) error {
	var known []dotterinterference.Learned
	if err := json.Unmarshal(stored, &known); err != nil {
		return err
	}
	b.learned.model.Restore(now, known)
	return nil
}

// slope returns what tasks of the image add to the load of the victim if they use
// the whole worker.
func (l learned) slope(now dotterclock.Millis, victim *task, image string) dotterinterference.Estimate {
	if image == "" {
		return dotterinterference.Estimate{}
	}
	return l.model.Predict(now, victim.step.Image, image, 1)
}

// ratio returns a serving task's tail over its target.
func ratio(t *task) float64 {
	if t.step.TailTarget <= 0 {
		return 0
	}
	return float64(t.tail) / float64(t.step.TailTarget)
}
