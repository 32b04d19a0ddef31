package dotterentry

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterjob"
)

// Keys and key prefixes of the scheduler in the store.
const (
	PartitionKey = "Dotter/Partition" // how the workers are divided into shards
	HeadPrefix   = "Dotter/Head/"     // heads of the shards
	CancelPrefix = "Dotter/Cancel/"   // cancellations of jobs in any shard
	homePrefix   = "Dotter/Home/"     // shards and tenants of the jobs

	// TimestampPrefix is the prefix of the timestamps of the shards' commits.
	TimestampPrefix = "Dotter/Timestamp/"

	// InterferencePrefix is the prefix of the owners' estimates of interference between images.
	InterferencePrefix = "Dotter/Learned/"
)

// grantName stands for the job in the keys of grants. It is no job's ID.
const grantName = "Grant"

// AllotmentKey returns the key of the shard's parts of the tenants' caps.
func AllotmentKey(shard string) string {
	return "Dotter/Allotment/" + shard
}

// GrantKey returns the key of a grant to a shard, by a commit of the giving shard's owner. It is
// in the receiver's inbox, which its owner watches.
func GrantKey(to, from string, epoch, commit int64) string {
	return fmt.Sprintf("%s%s/%s.%d.%d", InboxPrefix(to), grantName, from, epoch, commit)
}

// IsGrantKey reports whether a key with the shard's InboxPrefix is that of a grant.
func IsGrantKey(shard, key string) bool {
	return strings.HasPrefix(key, InboxPrefix(shard)+grantName+"/")
}

// InboxPrefix returns the prefix of the shard's accepted jobs and of transfers to it.
func InboxPrefix(shard string) string {
	return "Dotter/Inbox/" + shard + "/"
}

// ProgressPrefix returns the prefix of the progress of jobs as recorded by the shard's owner.
func ProgressPrefix(shard string) string {
	return "Dotter/Progress/" + shard + "/"
}

// InterferenceKey returns the key of the shard's estimates of interference between images.
func InterferenceKey(shard string) string {
	return InterferencePrefix + shard
}

// TimestampKey returns the key of the newest timestamp of the shard's commits.
func TimestampKey(shard string) string {
	return TimestampPrefix + shard
}

// HomeKey returns the key of the job's home, whose value is a Home.
func HomeKey(id dotterjob.ID) string {
	return homePrefix + string(id)
}

// JobKey returns the key of a job in a shard.
func JobKey(shard string, id dotterjob.ID) string {
	return InboxPrefix(shard) + string(id)
}

// CancelKey returns the key of a job's cancellation.
func CancelKey(id dotterjob.ID) string {
	return CancelPrefix + string(id)
}

// ProgressKey returns the key of a job's progress in a shard.
func ProgressKey(shard string, id dotterjob.ID) string {
	return ProgressPrefix(shard) + string(id)
}

// TransferKey returns the key of a transfer of the job's tasks to a shard: the number-th one
// of a commit of the sending shard's owner.
func TransferKey(to string, id dotterjob.ID, from string, epoch, commit int64, number int) string {
	return fmt.Sprintf("%s/%s.%d.%d.%d", JobKey(to, id), from, epoch, commit, number)
}

// ParseInboxKey returns the job of a key with the shard's InboxPrefix and whether the key
// is a transfer.
func ParseInboxKey(shard, key string) (id dotterjob.ID, transfer bool) {
	name, _, transfer := strings.Cut(strings.TrimPrefix(key, InboxPrefix(shard)), "/")
	return dotterjob.ID(name), transfer
}

// PartKey returns the key of a part of the job's progress in a shard.
func PartKey(shard string, part dotterboard.PartKey) string {
	return fmt.Sprintf("%s/%d", ProgressKey(shard, part.Job), part.Number)
}

// ParseProgressKey returns the job of a key with the shard's ProgressPrefix, and the number of the
// part if the key is that of one.
func ParseProgressKey(shard, key string) (id dotterjob.ID, part int, isPart bool) {
	name, number, isPart := strings.Cut(strings.TrimPrefix(key, ProgressPrefix(shard)), "/")
	part, err := strconv.Atoi(number)
	return dotterjob.ID(name), part, isPart && err == nil
}

// ParseCancelKey returns the job of a key with CancelPrefix.
func ParseCancelKey(key string) dotterjob.ID {
	return dotterjob.ID(strings.TrimPrefix(key, CancelPrefix))
}
