package dotterqueues

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestTenantByKey guards against a caller that is taken for another tenant.
func TestTenantByKey(t *testing.T) {
	d := NewDocument(1, nil, nil, Limits{}).WithTenants([]Tenant{
		{Name: "north", Keys: []string{"n1", "n2"}},
		{Name: "south", Keys: []string{"s1"}},
		{Name: "locked"},
	})
	tests := map[string]struct {
		key  string
		want string // name of the tenant; empty if the key is unknown
	}{
		"first key":      {key: "n1", want: "north"},
		"second key":     {key: "n2", want: "north"},
		"another tenant": {key: "s1", want: "south"},
		"unknown key":    {key: "x"},
		"prefix":         {key: "n"},
		"no key":         {},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			tenant, ok := d.TenantByKey(tc.key)
			assert.Equal(t, tc.want != "", ok)
			assert.Equal(t, tc.want, tenant.Name)
		})
	}
	assert.True(t, d.HasTenants())
	assert.False(t, NewDocument(1, nil, nil, Limits{}).HasTenants())
}

// TestKeysChanged guards against a removed key that operators cannot find in the log.
func TestKeysChanged(t *testing.T) {
	document := func(tenants ...Tenant) Document { return NewDocument(1, nil, nil, Limits{}).WithTenants(tenants) }
	before := document(Tenant{Name: "north", Keys: []string{"n1", "n2"}}, Tenant{Name: "south", Keys: []string{"s1"}})
	tests := map[string]struct {
		after Document
		want  []string
	}{
		"nothing":               {before, nil},
		"another order, weight": {document(Tenant{Name: "south", Keys: []string{"s1"}, Weight: 2}, Tenant{Name: "north", Keys: []string{"n2", "n1"}}), nil},
		"a key removed":         {document(Tenant{Name: "north", Keys: []string{"n1"}}, Tenant{Name: "south", Keys: []string{"s1"}}), []string{"north"}},
		"a key replaced":        {document(Tenant{Name: "north", Keys: []string{"n1", "n2"}}, Tenant{Name: "south", Keys: []string{"s2"}}), []string{"south"}},
		"a tenant added":        {document(Tenant{Name: "north", Keys: []string{"n1", "n2"}}, Tenant{Name: "south", Keys: []string{"s1"}}, Tenant{Name: "east", Keys: []string{"e1"}}), []string{"east"}},
		"all tenants removed":   {Document{}, []string{"north", "south"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.want, tc.after.KeysChanged(before)) })
	}
}
