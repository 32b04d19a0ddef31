package dotterfault

import "slices"

// Selector names the hosts that a control call is for; an empty one means all.
type Selector struct {
	Names          []string `json:",omitempty"`
	FailureDomains []string `json:",omitempty"`
}

// Matches reports whether a host is meant.
func (s Selector) Matches(name, failureDomain string) bool {
	if len(s.Names)+len(s.FailureDomains) == 0 {
		return true
	}
	return slices.Contains(s.Names, name) || slices.Contains(s.FailureDomains, failureDomain)
}
