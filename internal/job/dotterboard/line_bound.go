package dotterboard

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

const (
	// maxLostLines bounds the log lines of one kind on single lost tasks in lostLineInterval. The log
	// keeps 200 lines a second at level warn.
	maxLostLines     = 20
	lostLineInterval = dotterclock.Second
)

// lineBound bounds log lines to maxLostLines in lostLineInterval.
type lineBound struct {
	since dotterclock.Millis
	lines int
}

// take returns how many of count lines may be written now, and counts these.
func (l *lineBound) take(now dotterclock.Millis, count int) int {
	if now-l.since >= lostLineInterval {
		l.since, l.lines = now, 0
	}
	count = min(count, maxLostLines-l.lines)
	l.lines += count
	return count
}
