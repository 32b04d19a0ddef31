package dotterinterference

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Sample is a report of the slowdown of a victim together with its co-runners.
type Sample struct {
	At         dotterclock.Millis // time of the measurement
	Victim     string             // template
	Slowdown   float64            // 1 means undisturbed
	Corunners  []Corunner
	Unsettled  bool     // the co-runners changed shortly before or after At, or At is estimated
	SelfEffect Estimate // caller's estimate of the part of the excess caused by the victim itself; zero if none
	Censored   bool     // Slowdown is a lower bound of the true slowdown
}

// Corunner describes the tasks of one template that ran beside a victim.
type Corunner struct {
	Template string
	Weight   float64 // number of tasks, each weighted by the processor share left by its throttle
	Share    float64 // dominant share of the host held by one of them
}
