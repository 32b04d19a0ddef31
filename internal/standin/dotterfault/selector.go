package dotterfault

import "slices"

// Selector selects the hosts that a control call applies to, by name or by
// failure domain. The zero Selector selects all hosts.
type Selector struct {
	Names          []string `json:",omitempty"`
	FailureDomains []string `json:",omitempty"`
}

// Matches reports whether the selector includes the host.
func (s Selector) Matches(name, failureDomain string) bool {
	if len(s.Names)+len(s.FailureDomains) == 0 {
		return true
	}
	return slices.Contains(s.Names, name) || slices.Contains(s.FailureDomains, failureDomain)
}
