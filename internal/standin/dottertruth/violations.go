package dottertruth

import (
	"slices"
	"sync"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// maxViolations limits the violations that are kept; later ones are dropped.
const maxViolations = 1000

// violations collects violations since the last reset.
type violations struct {
	clock dotterelusher.Clock

	mu    sync.Mutex
	list  []Violation
	since dotterclock.Millis
}

func newViolations(clock dotterelusher.Clock) *violations {
	return &violations{clock: clock, since: clock.Now()}
}

func (v *violations) add(kind ViolationKind, subject, detail string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.list) < maxViolations {
		v.list = append(v.list, Violation{At: v.clock.Now(), Kind: kind, Subject: subject, Detail: detail})
	}
}

func (v *violations) copyTo(truth *Truth) {
	v.mu.Lock()
	defer v.mu.Unlock()
	truth.Since = v.since
	truth.Violations = slices.Clone(v.list)
}

func (v *violations) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = nil
	v.since = v.clock.Now()
}
