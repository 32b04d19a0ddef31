package dotterplacer

import "github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"

const (
	// minTargetSlowdown and maxTargetSlowdown bound the target slowdown derived
	// from a latency target.
	minTargetSlowdown = 1.05
	maxTargetSlowdown = 3
)

// targetSlowdown returns the target slowdown of latency-critical tasks of
// template. If the template has a latency target and latencies have been
// reported, it is the ratio of that target to the latency without co-runners;
// otherwise it is Options.TargetSlowdown.
func (r *round) targetSlowdown(template dotterconfig.Template) float64 {
	if learned, ok := r.placer.targets[template.Name]; ok && template.TargetMillis > 0 {
		return learned
	}
	return r.placer.options.TargetSlowdown
}

// learnTarget updates the target slowdown of template with the latency reported
// by an attempt.
func (r *round) learnTarget(template dotterconfig.Template, a *attempt) {
	if template.TargetMillis == 0 || a.latency <= 0 || a.slowdown < 1 {
		return
	}
	alone := a.latency / a.slowdown
	wanted := min(max(float64(template.TargetMillis)/alone, minTargetSlowdown), maxTargetSlowdown)
	old, ok := r.placer.targets[template.Name]
	if ok {
		wanted = old + smoothingFactor*(wanted-old)
	}
	r.placer.targets[template.Name] = wanted
}
