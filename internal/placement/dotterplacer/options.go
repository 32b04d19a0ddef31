package dotterplacer

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Options are the parameters of a Placer; zero fields take their defaults.
type Options struct {
	Models                *Models         // shared with other Placers; nil: one of its own
	TargetSlowdown           float64            // of latency-critical tasks, above 1
	PlacementsPerPlan        int                // most assignments that one Plan makes
	ThrottledPercent         float64            // most of the shard's cores that throttles withhold, 0 to 100
	EvictionsPerMinute       float64            // for disturbed latency-critical tasks
	EvictionBurst            int                // of EvictionsPerMinute
	UrgentEvictionsPerMinute float64            // for urgent tasks
	UrgentEvictionBurst      int                // of UrgentEvictionsPerMinute
	Patience                 dotterclock.Millis // by how much a batch task is overtaken before it is placed where it does harm
	StarvationSpan           dotterclock.Millis // by how much a task is overtaken before it gets a reservation
}

const (
	// DefaultTargetSlowdown is the slowdown up to which a latency-critical task is undisturbed.
	DefaultTargetSlowdown = 1.3

	defaultPlacementsPerPlan        = 64
	defaultThrottledPercent         = 1
	defaultEvictionsPerMinute       = 6
	defaultEvictionBurst            = 3
	defaultUrgentEvictionsPerMinute = 240
	defaultUrgentEvictionBurst      = 64
	defaultPatience                 = 300 * dotterclock.Second
	defaultStarvationSpan           = 60 * dotterclock.Second
)

func (o Options) withDefaults() Options {
	if o.Models == nil {
		o.Models = NewModels()
	}
	setDefault(&o.TargetSlowdown, DefaultTargetSlowdown)
	setDefault(&o.PlacementsPerPlan, defaultPlacementsPerPlan)
	setDefault(&o.ThrottledPercent, defaultThrottledPercent)
	setDefault(&o.EvictionsPerMinute, defaultEvictionsPerMinute)
	setDefault(&o.EvictionBurst, defaultEvictionBurst)
	setDefault(&o.UrgentEvictionsPerMinute, defaultUrgentEvictionsPerMinute)
	setDefault(&o.UrgentEvictionBurst, defaultUrgentEvictionBurst)
	setDefault(&o.Patience, defaultPatience)
	setDefault(&o.StarvationSpan, defaultStarvationSpan)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
