package dotterrecord

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ErrSegmentCorrupt means that a stored segment can't be decoded.
var ErrSegmentCorrupt = eris.New("segment: corrupt")

// Segment is one group commit of a shard's log.
type Segment struct {
	Number   int64
	Epoch    int64  // rises with each owner
	Writer   string // host and process that wrote it
	Batch    int64  // names the write among those of the writer
	Sequence int64  // task numbers given out so far
	Records  []Record
}

// SameWrite reports whether s and o come from the same write.
func (s Segment) SameWrite(o Segment) bool {
	return s.Number == o.Number && s.Writer == o.Writer && s.Batch == o.Batch && s.Epoch == o.Epoch
}

// Encode returns s as it is stored.
func (s Segment) Encode() []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false) // it would make payloads several times as long
	if err := encoder.Encode(s); err != nil {
		panic(err) // a segment holds only plain values
	}
	return buffer.Bytes()
}

// DecodeSegment returns the segment that data holds, or ErrSegmentCorrupt.
func DecodeSegment(data []byte) (Segment, error) {
	var s Segment
	if err := json.Unmarshal(data, &s); err != nil {
		return Segment{}, eris.Wrapf(ErrSegmentCorrupt, "decode: %v", err)
	}
	return s, nil
}
