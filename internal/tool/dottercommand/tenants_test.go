package dottercommand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// TestTenantsCommand guards against a listing that hides a cap, a shard that did not answer, or a
// tenant that is no longer configured.
func TestTenantsCommand(t *testing.T) {
	answer := dottermessage.TenantsAnswer{
		Host: "a1", Version: 7, Shards: []string{"a", "b"}, Missing: []string{"c"},
		Tenants: []dottermessage.TenantUsage{
			{Tenant: "north", Configured: true, Running: dotterroom.Room{MilliCores: 1500, MemoryMB: 4000}, Cap: dotterroom.Room{MilliCores: 6000, MemoryMB: 5000}, Waiting: 12},
			{Tenant: "south", Configured: true, Running: dotterroom.Room{MilliCores: 2000, Accelerators: 1}},
			{Tenant: "gone", Running: dotterroom.Room{MilliCores: 500}},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/tenants" {
			_ = json.NewEncoder(w).Encode(answer)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	tests := map[string]struct {
		arguments []string
		code      int
		lines     []string // regular expressions; empty: the output is the answer as JSON
	}{
		"table": {[]string{"tenants", "--metrics", address}, ExitDone, []string{
			`^north +1\.5 +6\.0 +4\.0 +5\.0 +0 +- +80 +12$`, `^south +2\.0 +- +0\.0 +- +1 +- +- +0$`, `^gone \(not configured\) +0\.5 +`,
			`^configuration 7 on a1, shards: a, b$`, `^shard c could not be queried$`,
		}},
		"json":        {[]string{"tenants", "--metrics", address, "--json"}, ExitDone, nil},
		"output json": {[]string{"--output", "json", "tenants", "--metrics", address}, ExitDone, nil},
		"unreachable": {[]string{"tenants", "--metrics", "127.0.0.1:1"}, ExitUnreachable, []string{`^$`}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errors bytes.Buffer
			assert.Equal(t, tc.code, NewProgram(context.Background(), &out, &errors, false).Run(tc.arguments), errors.String())
			if len(tc.lines) == 0 {
				var printed dottermessage.TenantsAnswer
				require.NoError(t, json.Unmarshal(out.Bytes(), &printed))
				assert.Equal(t, answer, printed)
				return
			}
			for _, line := range tc.lines {
				assert.Regexp(t, "(?m)"+line, out.String())
			}
		})
	}
}
