package dotterplacer_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	dotterelusher "github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotternaive"
	"github.com/dotterelusher/dotterelusher/internal/placement/dotterplacer"
)

// policy is a named Placer of an evaluation.
type policy struct {
	name string
	make func() dotterelusher.Placer
}

var (
	firstFit    = policy{"FirstFit", func() dotterelusher.Placer { return dotternaive.New(dotternaive.RuleFirstFit) }}
	leastLoaded = policy{"LeastLoaded", func() dotterelusher.Placer { return dotternaive.New(dotternaive.RuleLeastLoaded) }}
	threshold   = policy{"Threshold", func() dotterelusher.Placer { return dotternaive.New(dotternaive.RuleThreshold) }}
	learned     = policy{"Learned", func() dotterelusher.Placer { return dotterplacer.New(dotterplacer.Options{}) }}
)

var scenarios = []struct {
	name  string
	seeds uint64
	scenario
}{
	{"Steady", 3, scenario{workers: 24, criticalLoad: 0.3, batchLoad: 0.3, shift: 0.2, wrong: 1, ticks: 1200}},
	{"Full", 3, scenario{workers: 24, criticalLoad: 0.3, batchLoad: 0.7, shift: 0.2, wrong: 1, ticks: 1200}},
	{"Shifting", 3, scenario{workers: 24, criticalLoad: 0.3, batchLoad: 0.3, shift: 0.8, wrong: 1, ticks: 1200}},
	{"Waves", 3, scenario{workers: 24, criticalLoad: 0.3, batchLoad: 0.2, shift: 0.2, waves: true, wrong: 1, ticks: 1200}},
	{"WrongSizes", 3, scenario{workers: 24, criticalLoad: 0.3, batchLoad: 0.3, shift: 0.2, wrong: 4, ticks: 1200}},
	{"BlackHoles", 3, scenario{workers: 24, criticalLoad: 0.3, batchLoad: 0.3, shift: 0.2, wrong: 1, blackHoles: 2, ticks: 1200}},
	{"Small", 3, scenario{workers: 12, criticalLoad: 0.3, batchLoad: 0.3, shift: 0.2, wrong: 1, ticks: 1200}},
	{"SteadyHalfHour", 1, scenario{workers: 24, criticalLoad: 0.3, batchLoad: 0.3, shift: 0.2, wrong: 1, ticks: 3600}},
	{"FullHalfHour", 1, scenario{workers: 24, criticalLoad: 0.3, batchLoad: 0.7, shift: 0.2, wrong: 1, ticks: 3600}},
}

// BenchmarkPolicies plays every scenario with every policy. The unit of
// throughput is core-seconds of batch work per second; "lateP99" is the p99 of
// the second half, when much of what can be learned is known.
func BenchmarkPolicies(b *testing.B) {
	compare(b, 1, firstFit, leastLoaded, threshold, learned)
}

// BenchmarkPoliciesHeldOut plays seeds on which no parameter was chosen. Who
// chooses one by them has to take others.
func BenchmarkPoliciesHeldOut(b *testing.B) {
	compare(b, 7, leastLoaded, learned)
}

// compare plays every scenario with each policy, on seeds from first on.
func compare(b *testing.B, first uint64, policies ...policy) {
	for _, s := range scenarios {
		for _, p := range policies {
			for seed := first; seed < first+s.seeds; seed++ {
				b.Run(fmt.Sprintf("%s/%s/seed%d", s.name, p.name, seed), func(b *testing.B) {
					var m *simulation
					for range b.N {
						m = newSimulation(s.scenario, seed, p.make())
						m.run()
					}
					report(b, m)
				})
			}
		}
	}
}

func report(b *testing.B, m *simulation) {
	b.ReportMetric(quantile(m.slowdowns, 0.5), "p50")
	b.ReportMetric(quantile(m.slowdowns, 0.99), "p99")
	b.ReportMetric(quantile(m.slowdowns[len(m.slowdowns)/2:], 0.99), "lateP99")
	b.ReportMetric(m.batchWork/(float64(m.ticks)*tick.Seconds()), "cores")
	b.ReportMetric(float64(m.evictions), "evictions")
	b.ReportMetric(float64(m.failures), "failures")
	b.ReportMetric(float64(slices.Max(m.lost)), "lost")
	b.ReportMetric(float64(m.overfull), "overfull")
	b.ReportMetric(float64(m.overused), "overused")
	b.ReportMetric(float64(len(m.queue)), "queued")
	b.ReportMetric(m.longestWait().Seconds(), "waited-s")
}

// BenchmarkLearning reports how far the learned effects of batch on
// latency-critical templates are from the true ones, at several times after
// the start: the mean absolute error over the large effects (above 0.08) as a
// part of their mean, and the error over the small ones.
func BenchmarkLearning(b *testing.B) {
	for _, seconds := range []int{10, 30, 60, 120, 300, 600} {
		b.Run(fmt.Sprintf("After%ds", seconds), func(b *testing.B) {
			knowledge := dotterplacer.NewModels()
			for range b.N {
				knowledge = dotterplacer.NewModels()
				m := newSimulation(scenarios[0].scenario, 1, dotterplacer.New(dotterplacer.Options{Models: knowledge}))
				m.runUntil(seconds * 2)
				m.reportErrors(b, knowledge)
			}
			b.ReportMetric(float64(knowledge.Interference.Len()), "terms")
		})
	}
}

func (m *simulation) reportErrors(b *testing.B, knowledge *dotterplacer.Models) {
	var large, largeErrors, small, smallErrors float64
	for v := range criticals {
		for a := criticals; a < criticals+batches; a++ {
			truth := m.effect[v][a] * usualLoad
			names := m.document.Templates
			learned := knowledge.Interference.Predict(m.now, names[v].Name, names[a].Name, float64(m.sizes[a].MilliCores)/hostCores).Mean
			if truth > 0.08*usualLoad {
				large += truth
				largeErrors += math.Abs(learned - truth)
				continue
			}
			small++
			smallErrors += math.Abs(learned - truth)
		}
	}
	b.ReportMetric(largeErrors/large, "large-error")
	b.ReportMetric(smallErrors/small, "small-error")
}
