package dotterstandworker

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Options configures the usage reports of workers.
type Options struct {
	UsageInterval dotterclock.Millis // time between two samples of an attempt
	UsageLag      dotterclock.Millis // time from a sample until it is reported
}
