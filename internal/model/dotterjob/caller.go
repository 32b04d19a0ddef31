package dotterjob

// Caller is on whose behalf a call concerning a job is made. The zero value is a caller of a
// configuration without tenants.
type Caller struct {
	Restricted bool   `json:",omitempty"` // the configuration has tenants
	Tenant     string `json:",omitempty"` // whose key the call carried; empty: none
}

// MayAccess reports whether the caller may know of, and cancel, a job of the tenant. A job
// without a tenant was accepted without a key, so every caller may.
func (c Caller) MayAccess(tenant string) bool {
	return !c.Restricted || tenant == "" || tenant == c.Tenant
}
