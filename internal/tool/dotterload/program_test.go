package dotterload

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFaultyCommandLineIsRejected(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		want      string // part of the message
	}{
		"unknown case":      {arguments: []string{"policies", "--millis", "100", "--case", "Load51"}, want: `"Load51"`},
		"a case too many":   {arguments: []string{"policies", "--millis", "100", "--case", "Load50", "--case", "load50"}, want: `"load50"`},
		"unknown option":    {arguments: []string{"policies", "--casse", "Load50"}, want: "casse"},
		"unknown command":   {arguments: []string{"policy"}, want: "policy"},
		"no command at all": {want: "command"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errors bytes.Buffer
			assert.Equal(t, ExitUsage, NewProgram(t.Context(), &out, &errors).Run(tc.arguments))
			assert.Contains(t, errors.String(), tc.want)
			assert.Empty(t, out.String())
		})
	}
}
