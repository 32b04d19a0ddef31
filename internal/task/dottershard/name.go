package dottershard

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dottertask"
)

// Name names a shard: its failure domain and its number there.
type Name struct {
	FailureDomain string
	Number        int
}

// ParseName returns the name that text holds.
func ParseName(text string) (Name, bool) {
	cut := strings.LastIndexByte(text, '-')
	if cut <= 0 {
		return Name{}, false
	}
	number, err := strconv.Atoi(text[cut+1:])
	if err != nil || number < 0 {
		return Name{}, false
	}
	return Name{FailureDomain: text[:cut], Number: number}, true
}

// Home returns the shard that accepted task first.
func Home(task dottertask.ID) (Name, bool) {
	cut := strings.LastIndexByte(string(task), '-')
	if cut <= 0 {
		return Name{}, false
	}
	return ParseName(string(task)[:cut])
}

// String returns the name as it appears in task names, messages and logs.
func (n Name) String() string {
	return n.FailureDomain + "-" + strconv.Itoa(n.Number)
}

// Task returns the name of the shard's task with the sequence number.
func (n Name) Task(sequence int64) dottertask.ID {
	return dottertask.ID(fmt.Sprintf("%s-%d", n, sequence))
}

// OwnerKey returns the store key that names the shard's owner while its lease lasts.
func (n Name) OwnerKey() string {
	return fmt.Sprintf("%s%d/owner", OwnerPrefix(n.FailureDomain), n.Number)
}

// OwnerPrefix returns the prefix of the owner keys of a failure domain.
func OwnerPrefix(failureDomain string) string {
	return AllOwnersPrefix + failureDomain + "/"
}

// AllOwnersPrefix is the prefix of every owner key.
const AllOwnersPrefix = "shards/"

// SegmentPrefix returns the prefix of the keys of the shard's log.
func (n Name) SegmentPrefix() string {
	return fmt.Sprintf("segments/%s/%d/", n.FailureDomain, n.Number)
}

// ParseOwnerKey returns the shard whose owner key is key.
func ParseOwnerKey(key string) (Name, bool) {
	inner, ok := strings.CutPrefix(key, AllOwnersPrefix)
	if !ok {
		return Name{}, false
	}
	inner, ok = strings.CutSuffix(inner, "/owner")
	if !ok {
		return Name{}, false
	}
	cut := strings.LastIndexByte(inner, '/')
	if cut <= 0 {
		return Name{}, false
	}
	return ParseName(inner[:cut] + "-" + inner[cut+1:])
}
