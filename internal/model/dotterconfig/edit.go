package dotterconfig

import "encoding/json"

// Edit changes one item of a Document.
//
// An item is "Partners" (the whole split), "Teams/<name>", "Templates/<name>",
// "FailureDomains/<name>" or "Draining/<host>". Before is the item as the
// editor saw it and After as it is to be, both in JSON and both null when the
// item is absent. An edit whose Before is no longer what stands there is a
// conflict; edits of different items by different operators never are. A
// comparison of whole revisions would refuse those too.
type Edit struct {
	Item   string
	Before json.RawMessage
	After  json.RawMessage
}

// NewEdit returns the edit of item from before to after; nil means absent.
func NewEdit(item string, before, after any) (Edit, error) {
	old, err := json.Marshal(before)
	if err != nil {
		return Edit{}, err
	}
	new, err := json.Marshal(after)
	if err != nil {
		return Edit{}, err
	}
	return Edit{Item: item, Before: old, After: new}, nil
}
