package dotterplacer

import "github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"

const (
	// minTargetSlowdown and maxTargetSlowdown bound the slowdown worked out from a latency target.
	minTargetSlowdown = 1.05
	maxTargetSlowdown = 3
)

// targetSlowdown returns the slowdown wanted of latency-critical tasks of template.
// Where the template sets a latency target and latencies are reported, it is
// that target over the latency of running alone; otherwise the option's.
func (r *round) targetSlowdown(template dotterconfig.Template) float64 {
	if learned, ok := r.placer.targets[template.Name]; ok && template.TargetMillis > 0 {
		return learned
	}
	return r.placer.options.TargetSlowdown
}

// learnTarget takes in the latency that an attempt of template reported.
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
