package dotterqueues

import "github.com/dotterelusher/dotterelusher/internal/model/dotterjob"

// Caller returns who makes a call on the queue with the key, which is empty if the call has
// none. It returns false if the call needs a valid key.
func (d Document) Caller(q Queue, key string) (dotterjob.Caller, bool) {
	if !d.HasTenants() {
		return dotterjob.Caller{}, true
	}
	t, ok := d.TenantByKey(key)
	return dotterjob.Caller{Restricted: true, Tenant: t.Name}, ok || q.Public
}

// Owner returns the name of the tenant to which a job that the caller submits on the queue
// belongs, empty for none.
func (q Queue) Owner(caller dotterjob.Caller) string {
	if q.Public {
		return ""
	}
	return caller.Tenant
}
