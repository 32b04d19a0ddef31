package dotterentry

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
	"github.com/dotterelusher/dotterelusher/internal/platform/dottermemory"
)

// TestSumByTenant guards against usage of a tenant that is missing or counted twice when it has
// tasks in several shards.
func TestSumByTenant(t *testing.T) {
	room := func(cores int64) dotterroom.Room { return dotterroom.Room{MilliCores: cores} }
	tests := map[string]struct{ all, want []dotterboard.TenantSummary }{
		"none": {},
		"one shard": {
			all:  []dotterboard.TenantSummary{{Tenant: "b", Running: room(1)}, {Tenant: "a", Waiting: 2}},
			want: []dotterboard.TenantSummary{{Tenant: "a", Waiting: 2}, {Tenant: "b", Running: room(1)}},
		},
		"several shards": {
			all: []dotterboard.TenantSummary{
				{Tenant: "a", Running: room(1), Cap: room(9), Waiting: 1}, {Tenant: "b", Running: room(2)},
				{Tenant: "a", Running: room(3), Cap: room(9), Waiting: 4}, {Tenant: "c"}, {Tenant: "a", Running: room(5), Cap: room(7)},
			},
			want: []dotterboard.TenantSummary{{Tenant: "a", Running: room(9), Cap: room(9), Waiting: 5}, {Tenant: "b", Running: room(2)}, {Tenant: "c"}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.want, sumByTenant(tc.all)) })
	}
}

// TestTenantsOfAnotherHost guards against a listing that shows no usage on hosts that own no
// shard, and against one that hides that an owner did not answer.
func TestTenantsOfAnotherHost(t *testing.T) {
	store := &resettingStore{Store: dottermemory.New(dotterclock.NewSystem())}
	j := testJob()
	j.Tenant = "north"
	owner, address := newOwner(t, store, j)
	tests := map[string]struct {
		service           *Service
		answered, missing []string
		want              []dotterboard.TenantSummary
	}{
		"the owner's host":  {owner, []string{"all"}, nil, []dotterboard.TenantSummary{{Tenant: "north", Waiting: 1, Allotment: 1}}},
		"another host":      {newHost(t, store, fixedHealth{}, address), []string{"all"}, nil, []dotterboard.TenantSummary{{Tenant: "north", Waiting: 1, Allotment: 1}}},
		"the owner is away": {newHost(t, store, fixedHealth{}, "127.0.0.1:1"), nil, []string{"all"}, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			summaries, answered, missing := tc.service.Tenants(t.Context())
			assert.Equal(t, tc.want, summaries)
			assert.Equal(t, tc.answered, answered)
			assert.Equal(t, tc.missing, missing)
		})
	}
}
