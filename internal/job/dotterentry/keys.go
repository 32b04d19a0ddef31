package dotterentry

import (
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Keys and key prefixes of the scheduler in the store.
const (
	HeadKey         = "Dotter/Head"
	InterferenceKey = "Dotter/Learned"   // the owner's estimates of interference between images
	InboxPrefix     = "Dotter/Inbox/"    // accepted jobs and cancellations
	ProgressPrefix  = "Dotter/Progress/" // progress of jobs as recorded by the owner
	cancelSuffix    = "/Cancel"
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

// ParseInboxKey returns the job of a key with InboxPrefix and whether the key is a cancellation.
func ParseInboxKey(key string) (id dotterjob.ID, cancel bool) {
	name, cancel := strings.CutSuffix(strings.TrimPrefix(key, InboxPrefix), cancelSuffix)
	return dotterjob.ID(name), cancel
}

// ParseProgressKey returns the job of a key with ProgressPrefix.
func ParseProgressKey(key string) dotterjob.ID {
	return dotterjob.ID(strings.TrimPrefix(key, ProgressPrefix))
}
