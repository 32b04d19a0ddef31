package dotterrevision

import (
	"fmt"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// ConflictError means that an edit was refused, and had no effect, because items
// that it touches have changed since its base revision, or because the base is too
// old to tell.
type ConflictError struct {
	Base        int64
	Current     int64
	Conflicting []dotterconfig.Change // changes since Base that touch the same items; empty if Base is too old to tell
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Conflicting) == 0 {
		return fmt.Sprintf("configuration: revision %d is too old to compare with revision %d", e.Base, e.Current)
	}
	changes := make([]string, len(e.Conflicting))
	for i, c := range e.Conflicting {
		changes[i] = fmt.Sprintf("revision %d by %q changed %s", c.Revision, c.ChangedBy, strings.Join(c.Items, ", "))
	}
	return fmt.Sprintf("configuration: conflict since revision %d: %s", e.Base, strings.Join(changes, "; "))
}
