package dotterelusher

import "github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"

// Configuration provides the newest configuration that this process has read.
type Configuration interface {
	// Current returns the document in force in this process, or false if none has been read yet.
	Current() (dotterconfig.Document, bool)

	// Changed returns a channel that is closed when the configuration next changes.
	Changed() <-chan struct{}

	// StartsAllowed reports whether tasks may be started in the failure domain,
	// which requires evidence that the document is current.
	StartsAllowed(failureDomain string) StartPermission
}

// StartPermission says whether tasks may be started.
type StartPermission struct {
	Allowed     bool
	Overridable bool   // refused only for lack of evidence; templates whose CutOffStarts is Allow may start anyway
	Reason      string // why starts are refused, for logs
}
