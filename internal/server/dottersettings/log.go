package dottersettings

import "github.com/dotterelusher/dotterelusher/internal/base/dottercheck"

// Log says what the daemon logs on its standard error.
type Log struct {
	Level string // least severe level that is logged: debug, info, warn or error
}

func (l Log) check(c *dottercheck.Checker) {
	c.OneOf("/Log/Level", l.Level, "debug", "info", "warn", "error")
}
