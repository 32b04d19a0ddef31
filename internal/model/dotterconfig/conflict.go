package dotterconfig

import (
	"encoding/json"
	"fmt"
)

// Conflict is the error for an edit whose item differs from the edit's Before.
type Conflict struct {
	Item     string
	Revision int64 // current revision of the document
	Seen     json.RawMessage
	Current  json.RawMessage
}

var _ error = (*Conflict)(nil)

// Error returns the item, the value that the edit expects and the current value.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s has changed: the edit expects %s, revision %d has %s", c.Item, c.Seen, c.Revision, c.Current)
}
