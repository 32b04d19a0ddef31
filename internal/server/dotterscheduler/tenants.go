package dotterscheduler

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
)

// Tenants returns what each tenant has in all shards, as their owners answer.
func (s *Scheduler) Tenants(ctx context.Context) dottermessage.TenantsAnswer {
	document, _ := s.Configuration()
	summaries, answered, missing := s.jobs.Tenants(ctx)
	answer := dottermessage.TenantsAnswer{
		Host: s.settings.Host, Version: document.Version, Shards: answered, Missing: missing, Tenants: []dottermessage.TenantUsage{},
	}
	seen := map[string]bool{}
	for _, t := range summaries {
		_, configured := document.Tenant(t.Tenant)
		seen[t.Tenant] = true
		answer.Tenants = append(answer.Tenants, dottermessage.TenantUsage{Tenant: t.Tenant, Configured: configured, Running: t.Running, Cap: t.Cap, Waiting: t.Waiting})
	}
	for _, name := range slices.Sorted(maps.Keys(document.Tenants())) {
		if !seen[name] { // no owner answered, or none has this version yet
			answer.Tenants = append(answer.Tenants, dottermessage.TenantUsage{Tenant: name, Configured: true, Cap: document.Tenants()[name].Cap})
		}
	}
	return answer
}

// ServeTenants answers GET /tenants of the operators' listener.
func (s *Scheduler) ServeTenants(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Tenants(r.Context())); err != nil {
		s.logger.Info("listing of tenants not delivered", zap.Error(err))
	}
}
