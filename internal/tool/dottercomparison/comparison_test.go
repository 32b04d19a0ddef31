package dottercomparison

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEveryPolicyRunsEveryKindOfCase(t *testing.T) {
	cases := []Case{
		{Name: "Slow", Percent: 20, Slow: true},
		{Name: "Kill", Percent: 20, Kill: true},
	}
	var table bytes.Buffer
	results, err := Run(context.Background(), Options{Millis: 200, Seed: 1}, cases, &table)
	require.NoError(t, err)
	require.Len(t, results, len(cases)*len(Policies()))
	for _, r := range results {
		assert.NotEmpty(t, r.Report.Rows, "%s %s", r.Case, r.Policy)
		assert.Contains(t, table.String(), r.Policy)
	}
}
