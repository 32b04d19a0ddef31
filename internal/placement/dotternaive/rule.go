package dotternaive

// Rule selects how a naive Placer chooses among the workers with room.
type Rule string

// Rules of a naive Placer.
const (
	RuleFirstFit    Rule = "FirstFit"    // the first in the list
	RuleLeastLoaded Rule = "LeastLoaded" // the one with the smallest dominant share in use
	RuleThreshold   Rule = "Threshold"   // like RuleLeastLoaded, but evicts a batch task beside a latency-critical one over Threshold
)
