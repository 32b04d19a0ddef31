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
