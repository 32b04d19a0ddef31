package dotterinterference

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Sample is one late report of a victim with what ran beside it.
type Sample struct {
	At        dotterclock.Millis // when it was measured
	Victim    string             // template
	Slowdown  float64            // 1 is undisturbed
	Corunners []Corunner
	Unsettled bool     // the co-runners changed at about the time of the measurement
	SelfEffect       Estimate // the part that the victim causes itself, as far as its reader knows; zero: none
	Capped    bool     // the true slowdown may be larger
}

// Corunner is the tasks of one template that ran beside a victim.
type Corunner struct {
	Template string
	Weight   float64 // number of tasks, each by the processor share that it is throttled to
	Share    float64 // dominant share of the host that one of them holds
}
