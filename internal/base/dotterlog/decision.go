package dotterlog

import (
	"encoding/json"

	"go.uber.org/zap/zapcore"
)

// Decision is the log line of one routing or placement decision.
type Decision struct {
	At      int64 // milliseconds since the Unix epoch
	Message string
	fields  []zapcore.Field
}

var _ json.Marshaler = Decision{}

// MarshalJSON encodes the decision as a flat object of its fields, At and Message.
func (d Decision) MarshalJSON() ([]byte, error) {
	object := zapcore.NewMapObjectEncoder()
	for _, f := range d.fields {
		f.AddTo(object)
	}
	object.AddInt64("At", d.At)
	object.AddString("Message", d.Message)
	return json.Marshal(object.Fields)
}
