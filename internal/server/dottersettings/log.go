package dottersettings

import "github.com/dotterelusher/dotterelusher/internal/base/dottercheck"

// Log configures the daemon's log on standard error.
type Log struct {
	Level string // minimum level: debug, info, warn or error
}

func (l Log) check(c *dottercheck.Checker) {
	c.OneOf("/Log/Level", l.Level, "debug", "info", "warn", "error")
}
