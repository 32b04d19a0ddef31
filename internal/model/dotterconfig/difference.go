package dotterconfig

import "slices"

// Difference returns the edits that turn d into o.
func (d Document) Difference(o Document) ([]Edit, error) {
	var edits []Edit
	for _, item := range itemNames(d, o) {
		before, err := d.Item(item)
		if err != nil {
			return nil, err
		}
		after, err := o.Item(item)
		if err != nil {
			return nil, err
		}
		if !equalJSON(before, after) {
			edits = append(edits, Edit{Item: item, Before: before, After: after})
		}
	}
	return edits, nil
}

// itemNames returns the sorted names of all items in the documents, each once.
func itemNames(documents ...Document) []string {
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
