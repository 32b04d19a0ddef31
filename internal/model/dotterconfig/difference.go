package dotterconfig

import "slices"

// Difference returns the edits that lead from d to o.
func (d Document) Difference(o Document) ([]Edit, error) {
	var edits []Edit
	for _, item := range itemsOf(d, o) {
		before, err := d.Item(item)
		if err != nil {
			return nil, err
		}
		after, err := o.Item(item)
		if err != nil {
			return nil, err
		}
		if !sameJSON(before, after) {
			edits = append(edits, Edit{Item: item, Before: before, After: after})
		}
	}
	return edits, nil
}

// itemsOf returns the names of all items that one of the documents has, in a fixed order.
func itemsOf(documents ...Document) []string {
	var items []string
	for _, d := range documents {
		for _, t := range d.Teams {
			items = append(items, "Teams/"+t.Name)
		}
		for _, t := range d.Templates {
			items = append(items, "Templates/"+t.Name)
		}
		for _, f := range d.FailureDomains {
			items = append(items, "FailureDomains/"+f.Name)
		}
		for _, h := range d.Draining {
			items = append(items, "Draining/"+h)
		}
	}
	items = append(items, "Partners")
	slices.Sort(items)
	return slices.Compact(items)
}
