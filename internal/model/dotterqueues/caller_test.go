package dotterqueues

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// TestCaller guards against calls without a valid key, against refused calls of deployments
// without tenants, and against jobs of public queues that belong to a tenant.
func TestCaller(t *testing.T) {
	tenants := []Tenant{{Name: "north", Keys: []string{"n1"}}, {Name: "south", Keys: []string{"s1"}}}
	north, nobody := dotterjob.Caller{Restricted: true, Tenant: "north"}, dotterjob.Caller{Restricted: true}
	tests := map[string]struct {
		tenants []Tenant
		public  bool
		key     string
		want    dotterjob.Caller
		ok      bool
		owner   string // of a job submitted by the caller
	}{
		"valid key":                          {tenants: tenants, key: "n1", want: north, ok: true, owner: "north"},
		"unknown key":                        {tenants: tenants, key: "x"},
		"no key":                             {tenants: tenants},
		"public queue, no key":               {tenants: tenants, public: true, want: nobody, ok: true},
		"public queue, unknown key":          {tenants: tenants, public: true, key: "x", want: nobody, ok: true},
		"public queue, valid key":            {tenants: tenants, public: true, key: "n1", want: north, ok: true},
		"no tenants, no key":                 {ok: true},
		"no tenants, a key":                  {key: "n1", ok: true},
		"no tenants, public queue and a key": {public: true, key: "n1", ok: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d := NewDocument(1, nil, nil, Limits{}).WithTenants(tc.tenants)
			q := Queue{Host: "h", Prefix: "/p/", Public: tc.public}
			caller, ok := d.Caller(q, tc.key)
			assert.Equal(t, tc.ok, ok)
			if ok {
				assert.Equal(t, tc.want, caller)
				assert.Equal(t, tc.owner, q.Owner(caller))
			}
		})
	}
}
