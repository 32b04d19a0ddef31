package dotterscheduler

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterpartition"
)

// Settings describes this host and the limits that the platform sets.
type Settings struct {
	Host            string
	FailureDomain   string
	LinkAddress     string // IP:port that accepts links from other entry hosts
	Weak            bool   // should own a shard only if no stronger host of its failure domain does
	Board           dotterboard.Settings
	WritesPerSecond int // limit of store writes by all hosts together; 0: none
	MaxShardWorkers int // workers up to which one owner serves them all; 0: dotterpartition.DefaultMaxWorkers
}

func (s Settings) maxShardWorkers() int {
	if s.MaxShardWorkers > 0 {
		return s.MaxShardWorkers
	}
	return dotterpartition.DefaultMaxWorkers
}

// commitInterval returns the least time between two commits of one of the shards, so that
// all owners together use at most half of the store's writes.
func (s Settings) commitInterval(shards int) dotterclock.Millis {
	rate := maxCommitsPerSecond
	if s.WritesPerSecond > 0 {
		rate = max(1, min(rate, s.WritesPerSecond/2))
	}
	return max(urgentCommitInterval, dotterclock.Second*dotterclock.Millis(shards)/dotterclock.Millis(rate))
}
