package dotterentry

import (
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Keys of the scheduler in the store.
const (
	HeadKey        = "Dotter/Head"
	InterferenceKey     = "Dotter/Learned"   // what the owner has learned of images beside each other
	InboxPrefix    = "Dotter/Inbox/"    // accepted jobs and cancellations
	ProgressPrefix = "Dotter/Progress/" // what the owner has recorded of a job
	cancelSuffix   = "/Cancel"
)

// JobKey returns the key of an accepted job.
func JobKey(id dotterjob.ID) string {
	return InboxPrefix + string(id)
}

// CancelKey returns the key of a job's cancellation.
func CancelKey(id dotterjob.ID) string {
	return InboxPrefix + string(id) + cancelSuffix
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(id dotterjob.ID) string {
	return ProgressPrefix + string(id)
}

// ParseInboxKey returns the job that a key below InboxPrefix belongs to and whether it is a cancellation.
func ParseInboxKey(key string) (id dotterjob.ID, cancel bool) {
	name, cancel := strings.CutSuffix(strings.TrimPrefix(key, InboxPrefix), cancelSuffix)
	return dotterjob.ID(name), cancel
}

// ParseProgressKey returns the job that a key below ProgressPrefix belongs to.
func ParseProgressKey(key string) dotterjob.ID {
	return dotterjob.ID(strings.TrimPrefix(key, ProgressPrefix))
}
