package dotterproxy

import (
	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// ErrLimit is returned by Limits.Check when a limit is outside its range.
var ErrLimit = eris.New("limit out of range")

// Limits limits the resources that the requests on a host use.
type Limits struct {
	BodyBytes            int                // largest body of a request, 0 to 64 MiB
	AnswerBufferBytes    int                // responses up to this size are buffered, 1 KiB to 1 MiB
	InProgress           int                // requests in progress, 1 to 100000
	QueueItems           int                // requests per template that wait for a slot, 1 to 10000
	QueueWaitMillis      dotterclock.Millis // longest time that a request waits for a slot, 1 to 10000
	RetryPercent         int                // retries and hedges per hundred requests, 0 to 100
	TimeoutMillis        dotterclock.Millis // default for requests and templates that set none, 10 to 600000
	LongestTimeoutMillis dotterclock.Millis // largest timeout that a request may set, 10 to 3600000
}

// DefaultLimits returns limits that suit a small host.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:            1 << 20,
		AnswerBufferBytes:    64 << 10,
		InProgress:           4096,
		QueueItems:           256,
		QueueWaitMillis:      500,
		RetryPercent:         8,
		TimeoutMillis:        10 * dotterclock.Second,
		LongestTimeoutMillis: 300 * dotterclock.Second,
	}
}

// Check returns an ErrLimit that names the first field outside its range.
func (l Limits) Check() error {
	for _, r := range l.ranges() {
		if r.value < r.lower || r.value > r.upper {
			return eris.Wrapf(ErrLimit, "%s is %d, must be between %d and %d", r.field, r.value, r.lower, r.upper)
		}
	}
	return nil
}

// limitRange holds the value of a field and its allowed range, bounds included.
type limitRange struct {
	field               string
	value, lower, upper int64
}

func (l Limits) ranges() []limitRange {
	return []limitRange{
		{"BodyBytes", int64(l.BodyBytes), 0, 64 << 20},
		{"AnswerBufferBytes", int64(l.AnswerBufferBytes), 1 << 10, 1 << 20},
		{"InProgress", int64(l.InProgress), 1, 100_000},
		{"QueueItems", int64(l.QueueItems), 1, 10_000},
		{"QueueWaitMillis", int64(l.QueueWaitMillis), 1, 10_000},
		{"RetryPercent", int64(l.RetryPercent), 0, 100},
		{"TimeoutMillis", int64(l.TimeoutMillis), 10, 600_000},
		{"LongestTimeoutMillis", int64(l.LongestTimeoutMillis), 10, 3_600_000},
	}
}
