package dotterqueues

import (
	"github.com/dotterelusher/dotterelusher/internal/model/dotterroom"
)

// Tenant is a customer whose jobs share one limit on what may run at the same time.
type Tenant struct {
	Name   string
	Keys   []string        // secrets by which its callers identify themselves; never logged
	Weight float64         // jobs per second that it may send, and its share when workers are full
	Cap    dotterroom.Room // what its tasks may reserve on all workers together; 0 in a field means no limit
}
