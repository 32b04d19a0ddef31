package dotterjob

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestMayAccess guards against a job that is shown to another tenant, and against one that its
// own caller is told not to exist.
func TestMayAccess(t *testing.T) {
	north, public, none := Caller{Restricted: true, Tenant: "north"}, Caller{Restricted: true}, Caller{}
	tests := map[string]struct {
		caller Caller
		tenant string // of the job
		want   bool
	}{
		"its own job":                              {north, "north", true},
		"another tenant's job":                     {north, "south", false},
		"a job of nobody":                          {north, "", true},
		"a tenant's job through a public queue":    {public, "north", false},
		"a job of nobody through a public queue":   {public, "", true},
		"a tenant's job, tenants no longer in use": {none, "north", true},
		"a job of nobody, no tenants":              {none, "", true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.want, tc.caller.MayAccess(tc.tenant)) })
	}
}
