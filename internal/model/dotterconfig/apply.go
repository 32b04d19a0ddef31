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

// ErrUnknownItem means that an edit names an item that no Document has.
var ErrUnknownItem = eris.New("configuration: there is no such item")

// WithEdits returns the next revision of d with all edits applied, or d
// unchanged and a *Conflict, ErrUnknownItem or a *dottercheck.Faults.
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

// Item returns an item of d as it stands in JSON; absent items are null.
func (d Document) Item(item string) (json.RawMessage, error) {
	kind, name, _ := strings.Cut(item, "/")
	switch kind {
	case "Partners":
		return json.Marshal(d.Partners)
	case "Teams":
		return rawOf(d.Teams, name, teamName)
	case "Templates":
		return rawOf(d.Templates, name, templateName)
	case "FailureDomains":
		return rawOf(d.FailureDomains, name, domainName)
	case "Draining":
		return rawOf(d.Draining, name, hostName)
	}
	return nil, eris.Wrapf(ErrUnknownItem, "%q", item)
}

func (d *Document) apply(e Edit) error {
	current, err := d.Item(e.Item)
	if err != nil {
		return err
	}
	if !sameJSON(current, e.Before) {
		return &Conflict{Item: e.Item, Revision: d.Revision, Seen: e.Before, Current: current}
	}
	kind, name, _ := strings.Cut(e.Item, "/")
	switch kind {
	case "Partners":
		d.Partners = nil
		return dotterjson.Decode(e.Item, e.After, &d.Partners)
	case "Teams":
		d.Teams, err = replaced(d.Teams, name, teamName, e)
	case "Templates":
		d.Templates, err = replaced(d.Templates, name, templateName, e)
	case "FailureDomains":
		d.FailureDomains, err = replaced(d.FailureDomains, name, domainName, e)
	case "Draining":
		d.Draining, err = replaced(d.Draining, name, hostName, e)
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

func teamName(t Team) string            { return t.Name }
func templateName(t Template) string    { return t.Name }
func domainName(f FailureDomain) string { return f.Name }
func hostName(h string) string          { return h }

func rawOf[T any](items []T, name string, nameOf func(T) string) (json.RawMessage, error) {
	for _, x := range items {
		if nameOf(x) == name {
			return json.Marshal(x)
		}
	}
	return json.RawMessage("null"), nil
}

// replaced returns items with the one called name replaced, added or removed as e says.
func replaced[T any](items []T, name string, nameOf func(T) string, e Edit) ([]T, error) {
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

// sameJSON reports whether a and b mean the same, whatever the order of their fields.
func sameJSON(a, b json.RawMessage) bool {
	if isNull(a) || isNull(b) {
		return isNull(a) && isNull(b)
	}
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
