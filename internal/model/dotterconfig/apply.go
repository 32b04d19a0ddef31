package dotterconfig

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterjson"
)

// ErrUnknownItem means that an item name is not of a known kind, or that an edit's
// new value has another name than the item.
var ErrUnknownItem = eris.New("configuration: there is no such item")

// WithEdits returns the next revision of d with all edits applied. On error it
// returns d unchanged and a *Conflict, ErrUnknownItem or a *dottercheck.Faults.
func (d Document) WithEdits(changeID, changedBy string, edits []Edit) (Document, error) {
	next := d.clone()
	for _, e := range edits {
		if err := next.apply(e); err != nil {
			return d, err
		}
	}
	next.Revision = d.Revision + 1
	next.ChangeID = changeID
	next.ChangedBy = changedBy
	if err := next.Check(); err != nil {
		return d, err
	}
	return next, nil
}

// Item returns the named item of d as JSON, or null if d doesn't have it.
func (d Document) Item(item string) (json.RawMessage, error) {
	kind, name, _ := strings.Cut(item, "/")
	switch kind {
	case "Partners":
		return json.Marshal(d.Partners)
	case "Teams":
		return marshalItem(d.Teams, name, teamName)
	case "Templates":
		return marshalItem(d.Templates, name, templateName)
	case "FailureDomains":
		return marshalItem(d.FailureDomains, name, failureDomainName)
	case "Draining":
		return marshalItem(d.Draining, name, hostName)
	}
	return nil, eris.Wrapf(ErrUnknownItem, "%q", item)
}

func (d *Document) apply(e Edit) error {
	current, err := d.Item(e.Item)
	if err != nil {
		return err
	}
	if !equalJSON(current, e.Before) {
		return &Conflict{Item: e.Item, Revision: d.Revision, Seen: e.Before, Current: current}
	}
	kind, name, _ := strings.Cut(e.Item, "/")
	switch kind {
	case "Partners":
		d.Partners = nil
		return dotterjson.Decode(e.Item, e.After, &d.Partners)
	case "Teams":
		d.Teams, err = replaceItem(d.Teams, name, teamName, e)
	case "Templates":
		d.Templates, err = replaceItem(d.Templates, name, templateName, e)
	case "FailureDomains":
		d.FailureDomains, err = replaceItem(d.FailureDomains, name, failureDomainName, e)
	case "Draining":
		d.Draining, err = replaceItem(d.Draining, name, hostName, e)
	}
	return err
}

func (d Document) clone() Document {
	d.Partners = slices.Clone(d.Partners)
	d.Teams = slices.Clone(d.Teams)
	d.Templates = slices.Clone(d.Templates)
	d.FailureDomains = slices.Clone(d.FailureDomains)
	d.Draining = slices.Clone(d.Draining)
	return d
}

func teamName(t Team) string                   { return t.Name }
func templateName(t Template) string           { return t.Name }
func failureDomainName(f FailureDomain) string { return f.Name }
func hostName(h string) string                 { return h }

// marshalItem returns the item called name as JSON, or null if there is none.
func marshalItem[T any](items []T, name string, nameOf func(T) string) (json.RawMessage, error) {
	for _, x := range items {
		if nameOf(x) == name {
			return json.Marshal(x)
		}
	}
	return json.RawMessage("null"), nil
}

// replaceItem returns items with the one called name replaced, added or removed as
// e requires, sorted by name if one was replaced or added.
func replaceItem[T any](items []T, name string, nameOf func(T) string, e Edit) ([]T, error) {
	rest := slices.DeleteFunc(items, func(x T) bool { return nameOf(x) == name })
	if isNull(e.After) {
		return rest, nil
	}
	var item T
	if err := dotterjson.Decode(e.Item, e.After, &item); err != nil {
		return nil, err
	}
	if nameOf(item) != name {
		return nil, eris.Wrapf(ErrUnknownItem, "%s: the item calls itself %q", e.Item, nameOf(item))
	}
	rest = append(rest, item)
	slices.SortFunc(rest, func(a, b T) int { return strings.Compare(nameOf(a), nameOf(b)) })
	return rest, nil
}

func isNull(raw json.RawMessage) bool {
	trimmed := bytes.TrimSpace(raw)
	return len(trimmed) == 0 || bytes.Equal(trimmed, []byte("null"))
}

// equalJSON reports whether a and b are equal as JSON values, regardless of the
// order of their fields. Empty input equals null.
func equalJSON(a, b json.RawMessage) bool {
	if isNull(a) || isNull(b) {
		return isNull(a) && isNull(b)
	}
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
