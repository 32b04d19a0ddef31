package dottermember

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Defaults of Settings.
const (
	DefaultLeaseSpan = 10 * dotterclock.Second
	DefaultListLag   = 30 * dotterclock.Second
)

// Settings are what a Keeper needs to know of the platform.
type Settings struct {
	LeaseSpan dotterclock.Millis // of this process's store lease; zero: DefaultLeaseSpan
	ListLag   dotterclock.Millis // most by which the host list lags; zero: DefaultListLag
}

// WithDefaults returns s with every field set.
func (s Settings) WithDefaults() Settings {
	if s.LeaseSpan == 0 {
		s.LeaseSpan = DefaultLeaseSpan
	}
	if s.ListLag == 0 {
		s.ListLag = DefaultListLag
	}
	return s
}
