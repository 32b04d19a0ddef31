package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Total is what one team has used under one split. It is logged as the new
// sum, in the same segment as the ends that raise it, so that reading a record
// twice or from the middle of the ring can't change what is charged.
type Total struct {
	Team         string
	Partner      string
	Split        string  // the partners' shares in force when the attempts ended
	Percent      float64 // partner's share under the split
	Revision     int64   // configuration revision at which the shard first charged it
	Attempts     int64
	CoreMillis   int64 // thousandths of a core times milliseconds
	MemoryMillis int64 // megabytes times milliseconds
	DeviceMillis int64 // accelerators times milliseconds
	CostMillis   int64 // CoreMillis times the templates' cost weights
}

// TotalKey names a Total.
type TotalKey struct {
	Team    string
	Partner string
	Split   string
}

// Key returns the name of t.
func (t Total) Key() TotalKey {
	return TotalKey{Team: t.Team, Partner: t.Partner, Split: t.Split}
}

// WithCharge returns a copy of t raised by room held for span at the cost weight.
func (t Total) WithCharge(room dotterroom.Room, span dotterclock.Millis, weight float64) Total {
	t.Attempts++
	t.CoreMillis += room.MilliCores * int64(span)
	t.MemoryMillis += room.MemoryMB * int64(span)
	t.DeviceMillis += room.Accelerators * int64(span)
	t.CostMillis += int64(weight * float64(room.MilliCores*int64(span)))
	return t
}

// With returns the sum of t and o; the revision is the lower one.
func (t Total) With(o Total) Total {
	t.Revision = min(t.Revision, o.Revision)
	t.Attempts += o.Attempts
	t.CoreMillis += o.CoreMillis
	t.MemoryMillis += o.MemoryMillis
	t.DeviceMillis += o.DeviceMillis
	t.CostMillis += o.CostMillis
	return t
}
