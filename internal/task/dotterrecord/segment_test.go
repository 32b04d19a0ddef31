package dotterrecord

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Entry.Bytes limits the size of a group commit, so it must not be less than the
// encoded size, whatever the JSON encoder escapes in a payload.
func TestEntryBytesIsUpperBoundOfEncodedSize(t *testing.T) {
	payloads := map[string]string{
		"empty":   "",
		"plain":   strings.Repeat("a", 1000),
		"quotes":  strings.Repeat("\"\\", 500),
		"control": strings.Repeat("\x01\n", 500),
		"html":    strings.Repeat("<&>", 500),
		"invalid": strings.Repeat("\xff", 500),
		"wide":    strings.Repeat("\u2028ж", 500),
	}
	empty := len(Segment{}.Encode())
	for name, payload := range payloads {
		t.Run(name, func(t *testing.T) {
			e := Entry{Task: dottertask.Task{
				ID: "valparaiso-12-1234567890", Team: "t", Template: "t", Payload: payload, State: dottertask.StateQueued, SubmittedAt: 1 << 41,
			}}
			segment := Segment{Records: []Record{{Accepted: &e}}}
			assert.LessOrEqual(t, len(segment.Encode())-empty, e.Bytes())
			back, err := DecodeSegment(segment.Encode())
			require.NoError(t, err)
			assert.Equal(t, strings.ToValidUTF8(payload, "\uFFFD"), collapseReplacements(back.Records[0].Accepted.Task.Payload))
		})
	}
}

// TestRecordBytesIsUpperBoundOfEncodedSize guards against segments larger than the limits
// that are computed from Record.Bytes.
func TestRecordBytesIsUpperBoundOfEncodedSize(t *testing.T) {
	const id, escaped = dottertask.ID("valparaiso-12-1234567890"), "\x01\"\u2028ж\xff"
	text := strings.Repeat(escaped, 200)
	ids := make([]dottertask.ID, 50)
	for i := range ids {
		ids[i] = id
	}
	const large = math.MaxInt64
	records := map[string]Record{
		"accepted":  {Accepted: &Entry{Task: dottertask.Task{ID: id, Team: text, Template: text, Key: text, Reason: text, Checkpoint: text, SubmittedAt: 1 << 41}}},
		"ended":     {Ended: &Ended{Task: id, Attempt: 100, State: dottertask.StateFailed, Reason: text, Checkpoint: text, Failed: true, RanMillis: 1 << 41, At: 1 << 41}},
		"cancelled": {Cancelled: &Cancelled{Tasks: ids, At: 1 << 41}},
		"offered":   {Offered: &Offered{Tasks: ids, Target: "valparaiso-12", At: 1 << 41}},
		"moved":     {Moved: &Moved{Tasks: ids, Target: "valparaiso-12", At: 1 << 41}},
		"reserved":  {Reserved: &Reserved{Task: id, Attempt: 100, Worker: "worker-valparaiso-1234", Incarnation: 1 << 41, Size: dotterroom.Room{MilliCores: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}}},
		"total": {Total: &Total{
			Team: text, Partner: text, Split: text, Percent: 100.0 / 3, Revision: large, Attempts: large,
			CoreMillis: large, MemoryMillis: large, DeviceMillis: large, CostMillis: large,
		}},
	}
	empty := len(Segment{}.Encode())
	for name, r := range records {
		t.Run(name, func(t *testing.T) {
			assert.LessOrEqual(t, len(Segment{Records: []Record{r}}.Encode())-empty, r.Bytes())
		})
	}
}

// collapseReplacements replaces each run of replacement characters by one, as
// strings.ToValidUTF8 does.
func collapseReplacements(text string) string {
	for strings.Contains(text, "\uFFFD\uFFFD") {
		text = strings.ReplaceAll(text, "\uFFFD\uFFFD", "\uFFFD")
	}
	return text
}

func TestDecodeSegmentRejectsInvalidData(t *testing.T) {
	for name, data := range map[string]string{"empty": "", "cut": `{"Number":1,"Records":[`, "other": `[]`} {
		_, err := DecodeSegment([]byte(data))
		assert.ErrorIs(t, err, ErrSegmentCorrupt, name)
	}
}
