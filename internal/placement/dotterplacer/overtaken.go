package dotterplacer

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// submitTimeSmoothing is the weight of one placed task in the moving average of submission
// times.
const submitTimeSmoothing = 0.05

// observePlacedSubmitTime updates the moving average of the submission times of
// placed tasks.
func (p *Placer) observePlacedSubmitTime(submittedAt dotterclock.Millis) {
	if p.placedSubmitTime == 0 {
		p.placedSubmitTime = float64(submittedAt)
	}
	p.placedSubmitTime += submitTimeSmoothing * (float64(submittedAt) - p.placedSubmitTime)
}

// overtaken reports whether recently placed tasks were, on average, submitted
// later than t by at least delay. The waiting time of t alone doesn't show
// starvation, since all tasks wait long when the backlog is deep.
func (r *round) overtaken(t dottertask.Task, delay dotterclock.Millis) bool {
	return r.placer.placedSubmitTime-float64(t.SubmittedAt) >= float64(delay)
}
