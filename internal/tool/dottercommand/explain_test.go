package dottercommand

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestExplainCommand guards against lines without the explanation of a wait, and against an explanation in output that programs read.
func TestExplainCommand(t *testing.T) {
	const (
		lost  = `{"Time":10000,"Host":"a1","Message":"run lost","Shard":"a","Job":"f3","Task":"f3.0.0.0"}`
		waits = `{"Time":20000,"Host":"a1","Message":"lost long-running task still waits","Shard":"a","Job":"f3","Task":"f3.0.0.0","WaitedMs":3100,"Verdict":"Full"}`
	)
	tests := map[string]struct {
		options []string
		log     string
		prefix  string // of the last line
	}{
		"a lost task waits": {log: lost + "\n" + waits, prefix: "Task f3.0.0.0"},
		"nothing waits":     {log: lost, prefix: "10000 a1"},
		"for programs":      {options: []string{"--output", "json"}, log: lost + "\n" + waits, prefix: "]"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			require.NoError(t, os.WriteFile(path, []byte(tc.log), 0o600))
			var out, errors bytes.Buffer
			require.Equal(t, ExitDone, NewProgram(context.Background(), &out, &errors, false).Run(append(tc.options, "explain", "f3", path)), errors.String())
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			assert.True(t, strings.HasPrefix(lines[len(lines)-1], tc.prefix), out.String())
		})
	}
}
