package dotterconfig

import (
	"encoding/json"
	"fmt"
)

// Conflict is the error of an edit whose item has changed since the editor saw it.
type Conflict struct {
	Item     string
	Revision int64 // revision that has the item as it is now
	Seen     json.RawMessage
	Current  json.RawMessage
}

var _ error = (*Conflict)(nil)

// Error names the item, what the editor saw and what stands there now.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%s has changed: the edit expects %s, revision %d has %s", c.Item, c.Seen, c.Revision, c.Current)
}
