package dotterplacer

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Options are the parameters of a Placer. Zero fields take their defaults.
type Options struct {
	Models                   *Models            // may be shared with other Placers; if nil, the Placer gets its own
	TargetSlowdown           float64            // default target of latency-critical tasks; above 1
	PlacementsPerPlan        int                // largest number of assignments in one Plan
	ThrottledPercent         float64            // largest part of the shard's cores withheld by throttles, 0 to 100
	EvictionsPerMinute       float64            // rate limit for mitigating interference
	EvictionBurst            int                // burst size for EvictionsPerMinute
	UrgentEvictionsPerMinute float64            // rate limit for placing urgent tasks
	UrgentEvictionBurst      int                // burst size for UrgentEvictionsPerMinute
	InterferenceDelay        dotterclock.Millis // how far a batch task must be overtaken (see round.overtaken) to be placed where it interferes
	StarvationDelay          dotterclock.Millis // how far a task must be overtaken to get a reservation
}

const (
	// DefaultTargetSlowdown is the slowdown up to which a latency-critical task
	// counts as undisturbed.
	DefaultTargetSlowdown = 1.3

	defaultPlacementsPerPlan        = 64
	defaultThrottledPercent         = 1
	defaultEvictionsPerMinute       = 6
	defaultEvictionBurst            = 3
	defaultUrgentEvictionsPerMinute = 240
	defaultUrgentEvictionBurst      = 64
	defaultInterferenceDelay        = 300 * dotterclock.Second
	defaultStarvationDelay          = 60 * dotterclock.Second
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
	setDefault(&o.InterferenceDelay, defaultInterferenceDelay)
	setDefault(&o.StarvationDelay, defaultStarvationDelay)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
