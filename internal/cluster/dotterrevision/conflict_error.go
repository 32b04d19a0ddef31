package dotterrevision

import (
	"fmt"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// ConflictError means that an edit was refused, and took no effect, because
// items that it touches have changed since its base.
type ConflictError struct {
	Base    int64
	Current int64
	Since   []dotterconfig.Change // changes since the base that touch the same items
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Since) == 0 {
		return fmt.Sprintf("configuration: revision %d is too old to compare with revision %d", e.Base, e.Current)
	}
	changes := make([]string, len(e.Since))
	for i, c := range e.Since {
		changes[i] = fmt.Sprintf("revision %d by %q changed %s", c.Revision, c.ChangedBy, strings.Join(c.Items, ", "))
	}
	return fmt.Sprintf("configuration: conflict since revision %d: %s", e.Base, strings.Join(changes, "; "))
}
