package dotterinterference_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterinterference"
)

const (
	templates = 12
	share     = 0.02
	noisy     = "t0"
)

// observeRandomMixes passes reports to m, one second apart, with random
// co-runners of which only the template noisy has an effect. It returns the time
// after the last report.
func observeRandomMixes(m *dotterinterference.Model, from dotterclock.Millis, reports int, effect float64) dotterclock.Millis {
	random := rand.New(rand.NewPCG(7, uint64(from)))
	for i := range reports {
		s := dotterinterference.Sample{At: from + dotterclock.Millis(i)*dotterclock.Second, Victim: "victim", Slowdown: 1}
		for k := range templates {
			if random.IntN(2) == 0 {
				continue
			}
			c := dotterinterference.Corunner{Template: fmt.Sprintf("t%d", k), Weight: 1, Share: share}
			s.Corunners = append(s.Corunners, c)
			if c.Template == noisy {
				s.Slowdown += effect
			}
		}
		s.Slowdown += 0.05 * random.NormFloat64()
		m.Observe(s)
	}
	return from + dotterclock.Millis(reports)*dotterclock.Second
}

func TestModelAttributesSlowdownToItsCause(t *testing.T) {
	m := dotterinterference.New(0)
	end := observeRandomMixes(m, 0, 150, 0.5)
	assert.InDelta(t, 0.5, m.Predict(end, "victim", noisy, share).Mean, 0.1)
	for k := 1; k < templates; k++ {
		assert.Less(t, m.Predict(end, "victim", fmt.Sprintf("t%d", k), share).Mean, 0.1)
	}
	unseen := m.Predict(end, "stranger", noisy, share)
	assert.Greater(t, unseen.Mean, 0.15, "the general term applies to other victims too")
	assert.Greater(t, unseen.Deviation, m.Predict(end, "victim", noisy, share).Deviation)
}

func TestModelAttributesSlowdownToNewCorunner(t *testing.T) {
	m := dotterinterference.New(0)
	end := observeRandomMixes(m, 0, 300, 0)
	s := dotterinterference.Sample{At: end, Victim: "victim", Slowdown: 1.5}
	s.Corunners = append(s.Corunners, dotterinterference.Corunner{Template: "newcomer", Weight: 1, Share: share})
	for k := range templates {
		s.Corunners = append(s.Corunners, dotterinterference.Corunner{Template: fmt.Sprintf("t%d", k), Weight: 1, Share: share})
	}
	for range 10 {
		m.Observe(s)
	}
	assert.InDelta(t, 0.5, m.Predict(end, "victim", "newcomer", share).Mean, 0.2)
	assert.Less(t, m.Predict(end, "victim", noisy, share).Mean, 0.06)
}

func TestModelAdaptsToChange(t *testing.T) {
	m := dotterinterference.New(0)
	end := observeRandomMixes(m, 0, 1500, 0.8)
	end = observeRandomMixes(m, end+30*60*dotterclock.Second, 60, 0.1)
	assert.InDelta(t, 0.1, m.Predict(end, "victim", noisy, share).Mean, 0.15)
}

func TestModelStartsFromPrior(t *testing.T) {
	m := dotterinterference.New(0)
	small, large := m.Predict(0, "v", "a", 0.1), m.Predict(0, "v", "a", 0.4)
	assert.Greater(t, large.Mean, small.Mean)
	assert.Positive(t, small.Deviation)
}

func TestModelIsBoundedAndKeepsTermsInUse(t *testing.T) {
	const limit = 64
	m := dotterinterference.New(limit)
	end := observeRandomMixes(m, 0, 150, 0.5)
	for i := range 1000 {
		m.Observe(dotterinterference.Sample{
			At: end, Victim: fmt.Sprintf("v%d", i), Slowdown: 1,
			Corunners: []dotterinterference.Corunner{{Template: "other", Weight: 1}},
		})
		end = observeRandomMixes(m, end, 1, 0.5)
		assert.Greater(t, m.Predict(end, "victim", noisy, share).Mean, 0.3)
	}
	assert.Equal(t, limit, m.Len())
}

// TestModelsShareWhatTheyLearn lets two models observe different reports of one effect. Each
// must know as much as one model that observes all of them, and no report may count twice.
func TestModelsShareWhatTheyLearn(t *testing.T) {
	sample := func(at int, load float64) dotterinterference.Sample {
		return dotterinterference.Sample{At: dotterclock.Millis(at), Victim: "v", Slowdown: 1 + load, Corunners: []dotterinterference.Corunner{{Template: "a", Weight: 0.3, Share: 1}}}
	}
	prior := dotterinterference.Prior{PerShare: 0.4, GeneralVariance: 1e-6, SpecificVariance: 4, NoiseVariance: 0.003, DecayTime: 300 * dotterclock.Second}
	one, left, right := dotterinterference.NewWithPrior(100, prior), dotterinterference.NewWithPrior(100, prior), dotterinterference.NewWithPrior(100, prior)
	for round := range 6 {
		for i, m := range []*dotterinterference.Model{left, right} {
			at, load := 1000*round+100*i, 0.5+0.05*float64((3*round+i)%5)
			m.Observe(sample(at, load))
			one.Observe(sample(at, load))
		}
		for range 3 { // repeated exchanges add nothing
			at := dotterclock.Millis(1000*round + 500)
			left.Adopt(at, "right", right.Learned(at, 100))
			right.Adopt(at, "left", left.Learned(at, 100))
		}
	}
	want := one.Predict(6000, "v", "a", 1)
	for name, m := range map[string]*dotterinterference.Model{"left": left, "right": right} {
		got := m.Predict(6000, "v", "a", 1)
		assert.InDelta(t, want.Mean, got.Mean, 0.02, name)
		assert.InEpsilon(t, want.Deviation, got.Deviation, 0.1, name)
	}
	successor := dotterinterference.NewWithPrior(100, prior)
	successor.Restore(6000, left.Learned(6000, 100))
	successor.Adopt(6000, "right", right.Learned(6000, 100))
	got := successor.Predict(6000, "v", "a", 1)
	assert.InEpsilon(t, want.Deviation, got.Deviation, 0.1, "what was restored includes what the source had learned")
}
