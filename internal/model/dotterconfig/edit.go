package dotterconfig

import "encoding/json"

// Edit changes one item of a Document.
//
// An item is "Partners" (all partners with their shares), "Teams/<name>",
// "Templates/<name>", "FailureDomains/<name>" or "Draining/<host>". Before is the
// item as the editor read it and After its new value. Both are JSON, and null
// stands for an absent item. An edit conflicts if the item no longer equals Before.
// Comparing items instead of revisions lets different operators edit different
// items at the same time without a conflict.
type Edit struct {
	Item   string
	Before json.RawMessage
	After  json.RawMessage
}

// NewEdit returns the edit that changes item from before to after; nil stands for
// an absent item.
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
