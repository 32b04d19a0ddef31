package dotterlog

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestRingKeepsLatestDecisions(t *testing.T) {
	ring := NewRing(2)
	logger := zap.New(ring)
	for _, target := range []string{"s1", "s2", "s3"} {
		logger.Info("Routed", zap.String("Target", target))
		logger.Info("Something else")
	}
	newest := ring.Newest(10)
	require.Len(t, newest, 2)
	text, err := json.Marshal(newest[1])
	require.NoError(t, err)
	assert.Contains(t, string(text), `"Target":"s3"`)
	assert.Len(t, ring.Newest(1), 1)
}
