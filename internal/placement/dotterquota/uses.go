package dotterquota

import "github.com/dotterelusher/dotterelusher/internal/model/dotterroom"

// Use is what may run of a tenant.
type Use struct {
	Room dotterroom.Room // sum of the declared sizes
	Runs int
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

// Add counts one more run of the tenant.
func (u Uses) Add(tenant string, size dotterroom.Room) {
	use := u.byName[tenant]
	u.byName[tenant] = Use{Room: use.Room.Add(size), Runs: use.Runs + 1}
}

// Remove counts one run of the tenant less.
func (u Uses) Remove(tenant string, size dotterroom.Room) {
	use := u.byName[tenant]
	if use.Runs <= 1 {
		delete(u.byName, tenant)
		return
	}
	u.byName[tenant] = Use{Room: use.Room.Sub(size), Runs: use.Runs - 1}
}

// Names returns the tenants of which anything may run, in no particular order.
func (u Uses) Names() []string {
	names := make([]string, 0, len(u.byName))
	for name := range u.byName {
		names = append(names, name)
	}
	return names
}
