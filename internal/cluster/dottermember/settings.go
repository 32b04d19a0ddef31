package dottermember

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Default values of Settings.
const (
	DefaultLeaseDuration = 10 * dotterclock.Second
	DefaultListLag       = 30 * dotterclock.Second
)

// Settings holds the properties of the platform that a Membership depends on.
type Settings struct {
	LeaseDuration dotterclock.Millis // duration of this process's store lease; zero means DefaultLeaseDuration
	ListLag       dotterclock.Millis // maximum lag of the host list; zero means DefaultListLag
}

// WithDefaults returns s with zero fields replaced by their defaults.
func (s Settings) WithDefaults() Settings {
	if s.LeaseDuration == 0 {
		s.LeaseDuration = DefaultLeaseDuration
	}
	if s.ListLag == 0 {
		s.ListLag = DefaultListLag
	}
	return s
}
