package dottermessage

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// TenantsAnswer is the answer to GET /tenants.
type TenantsAnswer struct {
	Host    string   // that answered
	Version int64    // of the configuration in force there; 0 if there is none yet
	Shards  []string // whose usage is included
	Missing []string `json:",omitempty"` // shards whose owner could not be reached, so that their usage is missing
	Tenants []TenantUsage
}

// TenantUsage is what a tenant has in the shards of a TenantsAnswer.
type TenantUsage struct {
	Tenant     string
	Configured bool            // in the configuration in force; else it only has jobs left
	Running    dotterroom.Room // declared by its runs, those that may have started or may still be running included
	Cap        dotterroom.Room // 0 in a field means no limit
	Waiting    int             // tasks that are ready and not bound to a worker
}
