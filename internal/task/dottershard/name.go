package dottershard

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Name identifies a shard by its failure domain and its number there.
type Name struct {
	FailureDomain string
	Number        int
}

// ParseName parses a name as returned by String.
func ParseName(text string) (Name, bool) {
	sep := strings.LastIndexByte(text, '-')
	if sep <= 0 {
		return Name{}, false
	}
	number, err := strconv.Atoi(text[sep+1:])
	if err != nil || number < 0 {
		return Name{}, false
	}
	return Name{FailureDomain: text[:sep], Number: number}, true
}

// Home returns the shard that first accepted task, whose name its ID starts with.
func Home(task dottertask.ID) (Name, bool) {
	sep := strings.LastIndexByte(string(task), '-')
	if sep <= 0 {
		return Name{}, false
	}
	return ParseName(string(task)[:sep])
}

// String returns the name as it appears in task IDs, messages and logs.
func (n Name) String() string {
	return n.FailureDomain + "-" + strconv.Itoa(n.Number)
}

// Task returns the ID of the shard's task with the given sequence number.
func (n Name) Task(sequence int64) dottertask.ID {
	return dottertask.ID(fmt.Sprintf("%s-%d", n, sequence))
}

// OwnerKey returns the store key that holds the shard's owner until the owner's
// lease expires.
func (n Name) OwnerKey() string {
	return fmt.Sprintf("%s%d/owner", OwnerPrefix(n.FailureDomain), n.Number)
}

// OwnerPrefix returns the prefix of the owner keys of a failure domain's shards.
func OwnerPrefix(failureDomain string) string {
	return AllOwnersPrefix + failureDomain + "/"
}

// AllOwnersPrefix is the prefix of all owner keys.
const AllOwnersPrefix = "shards/"

// SegmentPrefix returns the prefix of the store keys of the shard's log segments.
func (n Name) SegmentPrefix() string {
	return fmt.Sprintf("segments/%s/%d/", n.FailureDomain, n.Number)
}

// ParseOwnerKey returns the shard whose OwnerKey is key.
func ParseOwnerKey(key string) (Name, bool) {
	path, ok := strings.CutPrefix(key, AllOwnersPrefix)
	if !ok {
		return Name{}, false
	}
	path, ok = strings.CutSuffix(path, "/owner")
	if !ok {
		return Name{}, false
	}
	sep := strings.LastIndexByte(path, '/')
	if sep <= 0 {
		return Name{}, false
	}
	return ParseName(path[:sep] + "-" + path[sep+1:])
}
