package dotternaive

// Rule says how a naive Placer chooses among the workers that have room.
type Rule string

// The rules of a naive Placer.
const (
	RuleFirstFit    Rule = "FirstFit"    // the first in the list
	RuleLeastLoaded Rule = "LeastLoaded" // the one with the lowest dominant share in use
	RuleThreshold   Rule = "Threshold"   // as least loaded; evicts a batch task beside each critical one over the threshold
)
