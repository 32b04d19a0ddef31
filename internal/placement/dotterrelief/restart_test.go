package dotterrelief

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRestartScore guards against serving tasks that restart together on one worker, which may
// fail too, or beside filling tasks that put them over their target.
func TestRestartScore(t *testing.T) {
	tests := map[string]struct{ better, worse Restart }{
		"no task of the step there":                 {better: Restart{Tasks: 8}, worse: Restart{Tasks: 8, OnWorker: 1, InDomain: 1, Reserved: 0.9}},
		"fewer tasks of the step there":             {better: Restart{Tasks: 8, OnWorker: 1, InDomain: 8}, worse: Restart{Tasks: 8, OnWorker: 2, InDomain: 2, Reserved: 0.9}},
		"fewer in the failure domain":               {better: Restart{Tasks: 8, InDomain: 1}, worse: Restart{Tasks: 8, InDomain: 7, Reserved: 0.5}},
		"fuller, if all else is equal":              {better: Restart{Tasks: 8, Reserved: 0.9}, worse: Restart{Tasks: 8, Reserved: 0.3}},
		"no interference":                           {better: Restart{Tasks: 8, OwnLoad: 0.5}, worse: Restart{Tasks: 8, OwnLoad: 0.5, Added: 0.1}},
		"beside its own kind rather than too high":  {better: Restart{Tasks: 8, OnWorker: 4, InDomain: 4, OwnLoad: 0.6}, worse: Restart{Tasks: 8, OwnLoad: 0.6, Added: 0.2}},
		"high load of its users alone is no reason": {better: Restart{Tasks: 8, OwnLoad: 0.9}, worse: Restart{Tasks: 8, OnWorker: 1, OwnLoad: 0.9}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Greater(t, tc.better.Score(), tc.worse.Score())
		})
	}
}
