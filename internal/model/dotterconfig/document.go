package dotterconfig

// Key is the key of the Document in the platform's store.
const Key = "configuration"

// Document is one revision of the operators' configuration.
type Document struct {
	Revision       int64
	ChangeID       string // identifies the edit that produced this revision, to resolve an indeterminate write
	ChangedBy      string `json:",omitempty"`
	Partners       []Partner
	Teams          []Team
	Templates      []Template
	FailureDomains []FailureDomain
	Draining       []string `json:",omitempty"` // names of the hosts being drained
	Changes        []Change `json:",omitempty"` // the last MaxChanges changes, oldest first
}

// Newer reports whether d has a higher revision than o.
func (d Document) Newer(o Document) bool {
	return d.Revision > o.Revision
}

// Template returns the template called name, or false if there is none.
func (d Document) Template(name string) (Template, bool) {
	for _, t := range d.Templates {
		if t.Name == name {
			return t, true
		}
	}
	return Template{}, false
}

// Team returns the team called name, or false if there is none.
func (d Document) Team(name string) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// FailureDomain returns the failure domain called name, or false if there is none.
func (d Document) FailureDomain(name string) (FailureDomain, bool) {
	for _, f := range d.FailureDomains {
		if f.Name == name {
			return f, true
		}
	}
	return FailureDomain{}, false
}

// DomainOut reports whether operators have taken the failure domain called name out of service.
func (d Document) DomainOut(name string) bool {
	f, ok := d.FailureDomain(name)
	return ok && f.Out
}

// SameRegion reports whether the failure domains called a and b both exist and are in the
// same region.
func (d Document) SameRegion(a, b string) bool {
	x, known := d.FailureDomain(a)
	y, alsoKnown := d.FailureDomain(b)
	return known && alsoKnown && x.Region == y.Region
}

// IsDraining reports whether the host called name is being drained.
func (d Document) IsDraining(name string) bool {
	for _, h := range d.Draining {
		if h == name {
			return true
		}
	}
	return false
}
