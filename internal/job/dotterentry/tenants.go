package dotterentry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
)

// methodTenants returns the tenants of a shard.
const methodTenants = "Jobs.Tenants"

type tenantsReply struct {
	Known   bool // the answering host owns the shard
	Tenants []dotterboard.TenantSummary
}

// Tenants returns what each tenant has in all shards, by name, and the shards whose owner
// answered and did not. The cap is the largest that an owner knows.
func (s *Service) Tenants(ctx context.Context) (summaries []dotterboard.TenantSummary, answered, missing []string) {
	shards := s.elector.Shards()
	replies := make([]tenantsReply, len(shards))
	var calls sync.WaitGroup
	for i, shard := range shards {
		calls.Go(func() {
			if err := s.callOwner(ctx, shard, methodTenants, shard, &replies[i]); err != nil {
				replies[i] = tenantsReply{}
			}
		})
	}
	calls.Wait()
	var all []dotterboard.TenantSummary
	for i, shard := range shards {
		if !replies[i].Known {
			missing = append(missing, shard)
			continue
		}
		answered = append(answered, shard)
		all = append(all, replies[i].Tenants...)
	}
	return sumByTenant(all), answered, missing
}

// sumByTenant returns one summary for each tenant, by name.
func sumByTenant(all []dotterboard.TenantSummary) []dotterboard.TenantSummary {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b dotterboard.TenantSummary) int { return cmp.Compare(a.Tenant, b.Tenant) })
	var sums []dotterboard.TenantSummary
	for _, t := range all {
		if len(sums) == 0 || sums[len(sums)-1].Tenant != t.Tenant {
			sums = append(sums, t)
			continue
		}
		sum := &sums[len(sums)-1]
		sum.Running, sum.Waiting, sum.Cap = sum.Running.Add(t.Running), sum.Waiting+t.Waiting, sum.Cap.Max(t.Cap)
	}
	return sums
}

func (s *Service) handleTenants(_ context.Context, args json.RawMessage) (any, error) {
	var shard string
	if err := json.Unmarshal(args, &shard); err != nil {
		return nil, err
	}
	b := s.boards.Board(shard)
	if b == nil {
		return tenantsReply{}, nil
	}
	return tenantsReply{Known: true, Tenants: b.Tenants()}, nil
}
