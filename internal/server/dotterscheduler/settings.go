package dotterscheduler

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/job/dotterboard"
)

// Settings are what a process knows of itself and of the platform's promises.
type Settings struct {
	Host                  string
	FailureDomain         string
	LinkAddress           string // IP:port for links between entry hosts
	Weak                  bool   // it should own the shard only if no stronger host does
	Board                 dotterboard.Settings
	MaxConfigurationDelay dotterclock.Millis // by when a configuration must be in force
	WritesPerSecond       int                // that all hosts together may make
	MemoryMB              int64
}
