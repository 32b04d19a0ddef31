package dotterelusher

import "github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"

// Configuration gives the newest configuration that this process has.
type Configuration interface {
	// Current returns the document in force here, or false before there is one.
	Current() (dotterconfig.Document, bool)

	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}

	// StartsAllowed reports whether task starts may be made in the failure
	// domain, that is whether the document is known to be current; reason says
	// why not, and whether a template's rule may override it.
	StartsAllowed(failureDomain string) StartPermission
}

// StartPermission says whether task starts may be made.
type StartPermission struct {
	Allowed     bool
	Overridable bool   // refused only for want of evidence: a template with CutOffStarts Allow may start
	Reason      string // why it is refused, for logs
}
