package dotterrecord

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
