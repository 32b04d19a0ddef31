package dotterhead

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterworker"
)

// timestampInterval is how old an owner's newest timestamp may be when it commits without
// writing another one.
const timestampInterval = HeartbeatInterval

// Timestamp tells by workers' clocks when an owner sent a commit. These clocks run on when the
// hosts lose their power, and a change of the time of day does not affect them.
type Timestamp struct {
	Epoch    int64
	Commit   int64
	Readings []dotterworker.ClockReading `json:",omitempty"` // none is earlier than when the commit was sent; may be empty
}

func decodeTimestamp(value []byte) (Timestamp, error) {
	var t Timestamp
	if err := json.Unmarshal(value, &t); err != nil {
		return Timestamp{}, eris.Wrap(err, "head: cannot decode the stored timestamp")
	}
	return t, nil
}

func (t Timestamp) encode() []byte {
	value, err := json.Marshal(t)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return value
}

// validity returns for how long after the readings the owner that left the head may have sent
// orders, or an owner before it. It returns false if another owner wrote the timestamp.
func (t Timestamp) validity(left Head) (validity dotterclock.Millis, ok bool) {
	switch {
	case t.Epoch != left.Epoch || t.Commit > left.Commit || len(t.Readings) == 0:
		return 0, false
	case left.Released() && left.Sole && t.Commit == left.Commit:
		return 0, true
	}
	return timestampInterval + OwnershipTimeout, true
}
