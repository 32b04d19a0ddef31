package dotterrecord

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Total is the usage of one team under one split of the partners' shares. Each
// record holds the new sum and is in the same segment as the Ended records that
// it counts, so reading a record twice, or reading only part of the log, does not
// change what is charged.
type Total struct {
	Team         string
	Partner      string
	Split        string  // the partners' shares in force when the attempts ended
	Percent      float64 // Partner's share under the split
	Revision     int64   // configuration revision at the shard's first charge
	Attempts     int64
	CoreMillis   int64 // thousandths of a core times milliseconds
	MemoryMillis int64 // megabytes times milliseconds
	DeviceMillis int64 // accelerators times milliseconds
	CostMillis   int64 // CoreMillis times the templates' cost weights
}

// TotalKey identifies a Total.
type TotalKey struct {
	Team    string
	Partner string
	Split   string
}

// Key returns the key of t.
func (t Total) Key() TotalKey {
	return TotalKey{Team: t.Team, Partner: t.Partner, Split: t.Split}
}

// WithCharge returns a copy of t to which one attempt is added that held room for
// duration at the cost weight.
func (t Total) WithCharge(room dotterroom.Room, duration dotterclock.Millis, weight float64) Total {
	t.Attempts++
	t.CoreMillis += room.MilliCores * int64(duration)
	t.MemoryMillis += room.MemoryMB * int64(duration)
	t.DeviceMillis += room.Accelerators * int64(duration)
	t.CostMillis += int64(weight * float64(room.MilliCores*int64(duration)))
	return t
}

// Add returns the sum of t and o, with the lower of the two revisions.
func (t Total) Add(o Total) Total {
	t.Revision = min(t.Revision, o.Revision)
	t.Attempts += o.Attempts
	t.CoreMillis += o.CoreMillis
	t.MemoryMillis += o.MemoryMillis
	t.DeviceMillis += o.DeviceMillis
	t.CostMillis += o.CostMillis
	return t
}
