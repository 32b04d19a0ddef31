package dotterquota

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Use is what may run of a tenant.
type Use struct {
	Room        dotterroom.Room // sum of the declared sizes
	Runs        int
	Lasting     dotterroom.Room // of long-running tasks, which do not end by themselves
	LastingRuns int             // number of these
}

// add returns u with count more runs of the size.
func (u Use) add(size dotterroom.Room, lasting bool, count int) Use {
	u.Room, u.Runs = u.Room.Add(times(size, count)), u.Runs+count
	if lasting {
		u.Lasting, u.LastingRuns = u.Lasting.Add(times(size, count)), u.LastingRuns+count
	}
	return u
}

// Uses is the use of each tenant by name; that of the empty name is of no tenant.
type Uses struct {
	byName map[string]Use
}

// NewUses returns Uses of tenants of which nothing runs.
func NewUses() Uses {
	return Uses{byName: map[string]Use{}}
}

// Of returns the use of the tenant.
func (u Uses) Of(tenant string) Use {
	return u.byName[tenant]
}

// Add counts one more run of the tenant, which is of a long-running task or not.
func (u Uses) Add(tenant string, size dotterroom.Room, lasting bool) {
	u.byName[tenant] = u.byName[tenant].add(size, lasting, 1)
}

// Remove counts one run of the tenant less.
func (u Uses) Remove(tenant string, size dotterroom.Room, lasting bool) {
	use := u.byName[tenant].add(size, lasting, -1)
	if use.Runs <= 0 {
		delete(u.byName, tenant)
		return
	}
	u.byName[tenant] = use
}

// Names returns the tenants of which anything may run, in no particular order.
func (u Uses) Names() []string {
	names := make([]string, 0, len(u.byName))
	for name := range u.byName {
		names = append(names, name)
	}
	return names
}
