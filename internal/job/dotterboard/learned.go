package dotterboard

import (
	"encoding/json"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	// maxModelTerms bounds the interference model: pairs among some hundred images.
	maxModelTerms = 1 << 14
	// settleDelay is how long a reported tail latency still covers the time before a change:
	// workers report the tail of the last half second.
	settleDelay = 400 * dotterclock.Millisecond
	// unloadedTail is the tail latency of a serving task without load, as a fraction of its
	// target: services set their targets at about five times it.
	unloadedTail = 0.2
	// saturatedLoad is the load above which a reading is only a lower bound: the tail
	// latency no longer tells how far the task is overloaded.
	saturatedLoad = 0.93
	// readingInterval is how often a worker measures the tail latency; until then its listings
	// repeat the last reading.
	readingInterval = 450 * dotterclock.Millisecond
	// saturatedCPU is the fraction of a worker's processor time from which its tasks slow each
	// other down whatever their images are.
	saturatedCPU = 0.97
	// interferenceVariation is the coefficient of variation of the load that a filling task
	// adds to a serving one, which changes within seconds.
	interferenceVariation = 0.4
	// readingLag is the average age of a latency reading when it is taken.
	readingLag = 250 * dotterclock.Millisecond
)

// pairwisePrior assumes that interference is specific to a pair of images: most pairs do
// not interfere at all, some by several times the aggressor's share of the host. Effects
// on one victim say almost nothing about other victims.
func pairwisePrior() dotterinterference.Prior {
	return dotterinterference.Prior{
		PerShare: 0.4, GeneralVariance: 1e-6, SpecificVariance: 4,
		NoiseVariance: 0.003, ExcessNoise: 0, UnsettledNoise: 4, DecayTime: 300 * dotterclock.Second,
	}
}

// loadModel predicts how much load filling images add to serving tasks on the same
// worker.
//
// The tail latency of a serving task grows with its load as in a queue, as
// unloadedTail/(1-load) of its target. The load is the task's own, which varies with its
// users, plus what the filling tasks beside it add: their share of the host times a
// factor of the two images. The model is of loads rather than latencies because loads
// are additive.
type loadModel struct {
	model *dotterinterference.Model
}

func newLoadModel() loadModel {
	return loadModel{model: dotterinterference.NewWithPrior(maxModelTerms, pairwisePrior())}
}

// loadForTail returns the load at which the tail latency is ratio times the target.
func loadForTail(ratio float64) float64 {
	return max(0, 1-unloadedTail/max(ratio, unloadedTail))
}

// cpuShare returns the estimated fraction of the worker's processor time that the task uses.
func cpuShare(now dotterclock.Millis, w *worker, t *task) float64 {
	return float64(cpuUse(now, t)) / float64(max(1, w.Capacity.MilliCores))
}

// observe updates the model and the trend of the victim's users with a new reading of a
// serving task and the filling tasks beside it.
func (l loadModel) observe(now dotterclock.Millis, w *worker, victim *task) {
	load := loadForTail(tailRatio(victim))
	users := &victim.step.userLoad
	users.advance(now)
	s := dotterinterference.Sample{
		At: now, Victim: victim.step.Image, Slowdown: 1 + load, Censored: load > saturatedLoad,
		SelfEffect: users.estimate(),
	}
	shares, used := map[string]float64{}, 0.0
	for _, t := range w.runs {
		used += cpuShare(now, w, t)
		if t.phase != running || !t.step.Fills || t.step.Image == "" {
			continue
		}
		if now-t.startedAt < settleDelay || now-t.pacedAt < settleDelay {
			s.Unsettled = true
		}
		shares[t.step.Image] += cpuShare(now, w, t)
	}
	if used > saturatedCPU {
		return // on a saturated worker the load does not depend on the images alone
	}
	for image, share := range shares {
		s.Corunners = append(s.Corunners, dotterinterference.Corunner{Template: image, Weight: share, Share: 1})
	}
	users.correct(l.model.Observe(s))
}

// ownLoad returns the higher of the loads that the users of a serving task are expected
// to cause now and at until.
func (t *task) ownLoad(now, until dotterclock.Millis) float64 {
	users := &t.step.userLoad
	return max(users.predict(now), users.predict(until))
}

// maxStoredTerms is the number of model terms that a successor gets: some hundred
// images, each with the few that it meets.
const maxStoredTerms = 1000

// Learned returns the interference model's most certain terms, encoded for a successor.
func (b *Board) Learned(now dotterclock.Millis) ([]byte, error) {
	return json.Marshal(b.learned.model.Learned(now, maxStoredTerms))
}

// RestoreLearned loads the terms that a predecessor's Learned has returned.
func (b *Board) RestoreLearned(now dotterclock.Millis, stored []byte) error {
	var known []dotterinterference.Learned
	if err := json.Unmarshal(stored, &known); err != nil {
		return err
	}
	b.learned.model.Restore(now, known)
	return nil
}

// AdoptLearned adds what the owner of another shard has learned, from what its Learned has
// returned.
func (b *Board) AdoptLearned(now dotterclock.Millis, shard string, stored []byte) error {
	var known []dotterinterference.Learned
	if err := json.Unmarshal(stored, &known); err != nil {
		return err
	}
	b.learned.model.Adopt(now, shard, known)
	return nil
}

// slope returns the load that tasks of the image add to the victim's per whole worker of
// processor time that they use.
func (l loadModel) slope(now dotterclock.Millis, victim *task, image string) dotterinterference.Estimate {
	if image == "" {
		return dotterinterference.Estimate{}
	}
	return l.model.Predict(now, victim.step.Image, image, 1)
}

// tailRatio returns a serving task's tail latency as a multiple of its target.
func tailRatio(t *task) float64 {
	if t.step.TailTarget <= 0 {
		return 0
	}
	return float64(t.tail) / float64(t.step.TailTarget)
}
