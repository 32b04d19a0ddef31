package dotterscheduler

import (
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
)

// Settings describes this host and the limits that the platform sets.
type Settings struct {
	Host            string
	FailureDomain   string
	LinkAddress     string // IP:port that accepts links from other entry hosts
	Weak            bool   // should own the shard only if no stronger host does
	Board           dotterboard.Settings
	WritesPerSecond int // limit of store writes by all hosts together; 0: none
}
