package dotterstandworker

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Options is what all workers of a pool have in common.
type Options struct {
	UsageInterval dotterclock.Millis // between two samples of an attempt
	UsageLag      dotterclock.Millis // from a sample until it is reported
}
