package dotterrevision

import (
	"reflect"
	"slices"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// Kinds of items that an edit can touch. All but the partners are followed by a
// name.
const (
	itemPartners      = "Partners"
	itemTeam          = "Team "
	itemTemplate      = "Template "
	itemFailureDomain = "FailureDomain "
	itemDraining      = "Draining "
)

// changedItems returns the sorted names of the items that differ between two
// documents. The partners are a single item, since their shares must add up to the
// whole.
func changedItems(a, b dotterconfig.Document) []string {
	var items []string
	if !reflect.DeepEqual(partnersByName(a), partnersByName(b)) {
		items = append(items, itemPartners)
	}
	items = appendChanged(items, itemTeam, a.Teams, b.Teams, func(t dotterconfig.Team) string { return t.Name })
	items = appendChanged(items, itemTemplate, a.Templates, b.Templates, func(t dotterconfig.Template) string { return t.Name })
	items = appendChanged(items, itemFailureDomain, a.FailureDomains, b.FailureDomains, func(f dotterconfig.FailureDomain) string { return f.Name })
	items = appendChanged(items, itemDraining, a.Draining, b.Draining, func(h string) string { return h })
	slices.Sort(items)
	return items
}

func partnersByName(d dotterconfig.Document) map[string]dotterconfig.Partner {
	return byName(d.Partners, func(p dotterconfig.Partner) string { return p.Name })
}

func byName[T any](list []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(list))
	for _, t := range list {
		named[name(t)] = t
	}
	return named
}

// appendChanged appends prefix and name of every element that is in only one of the
// lists or differs between them.
func appendChanged[T any](items []string, prefix string, a, b []T, name func(T) string) []string {
	before, after := byName(a, name), byName(b, name)
	for n, t := range after {
		if f, ok := before[n]; !ok || !reflect.DeepEqual(f, t) {
			items = append(items, prefix+n)
		}
	}
	for n := range before {
		if _, ok := after[n]; !ok {
			items = append(items, prefix+n)
		}
	}
	return items
}

// overlap reports whether two sorted lists share an element.
func overlap(a, b []string) bool {
	for _, s := range a {
		if _, found := slices.BinarySearch(b, s); found {
			return true
		}
	}
	return false
}
