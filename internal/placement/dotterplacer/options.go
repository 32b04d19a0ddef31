package dotterplacer

// Options are the parameters of a Placer; zero fields take their defaults.
type Options struct {
	PlacementsPerPlan int // most assignments that one Plan makes
}

// defaultPlacementsPerPlan bounds the time that one Plan takes.
const defaultPlacementsPerPlan = 256

func (o Options) withDefaults() Options {
	if o.PlacementsPerPlan == 0 {
		o.PlacementsPerPlan = defaultPlacementsPerPlan
	}
	return o
}
