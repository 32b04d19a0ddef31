package dotterrecord

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ErrSegmentCorrupt means that a stored segment cannot be decoded.
var ErrSegmentCorrupt = eris.New("segment: corrupt")

// Segment is one group commit of a shard's log.
type Segment struct {
	Number   int64
	Epoch    int64  // increases with each owner
	Writer   string // host and process that wrote it
	Batch    int64  // identifies the segment among those that the writer built
	Sequence int64  // task numbers assigned so far
	Records  []Record
}

// SameWrite reports whether s and o are the same segment of the same writer.
func (s Segment) SameWrite(o Segment) bool {
	return s.Number == o.Number && s.Writer == o.Writer && s.Batch == o.Batch && s.Epoch == o.Epoch
}

// Encode returns the stored form of s.
func (s Segment) Encode() []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false) // escaping would multiply the size of payloads
	if err := encoder.Encode(s); err != nil {
		panic(err) // all fields have types that JSON can encode
	}
	return buffer.Bytes()
}

// DecodeSegment decodes data. It returns ErrSegmentCorrupt if data is not a segment.
func DecodeSegment(data []byte) (Segment, error) {
	var s Segment
	if err := json.Unmarshal(data, &s); err != nil {
		return Segment{}, eris.Wrapf(ErrSegmentCorrupt, "decode: %v", err)
	}
	return s, nil
}
