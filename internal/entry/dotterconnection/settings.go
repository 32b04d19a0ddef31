package dotterconnection

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Settings holds the timeouts of connections. A zero field stands for its default.
type Settings struct {
	DialTimeoutMillis  dotterclock.Millis // longest wait for a new connection, or for a permit for one
	ProbeIdleMillis    dotterclock.Millis // idle time after which a connection is probed before use
	ProbeTimeoutMillis dotterclock.Millis // longest wait for the answer to a probe
	MaxIdleMillis      dotterclock.Millis // idle time after which a connection is closed
	LateAnswerMillis   dotterclock.Millis // how long the answer of a lost exchange is read, and its permit kept
	UserTimeoutMillis  dotterclock.Millis // TCP_USER_TIMEOUT: longest wait for an acknowledgement
	ProbePath          string             // health check that a backend server answers without using a slot
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		DialTimeoutMillis:  500,
		ProbeIdleMillis:    2 * dotterclock.Second,
		ProbeTimeoutMillis: 500,
		MaxIdleMillis:      30 * dotterclock.Second,
		LateAnswerMillis:   5 * dotterclock.Second,
		UserTimeoutMillis:  3 * dotterclock.Second,
		ProbePath:          "/healthz",
	}
}

// WithDefaults returns a copy of s with the default in every zero field.
func (s Settings) WithDefaults() Settings {
	d := Default()
	s.DialTimeoutMillis = orDefault(s.DialTimeoutMillis, d.DialTimeoutMillis)
	s.ProbeIdleMillis = orDefault(s.ProbeIdleMillis, d.ProbeIdleMillis)
	s.ProbeTimeoutMillis = orDefault(s.ProbeTimeoutMillis, d.ProbeTimeoutMillis)
	s.MaxIdleMillis = orDefault(s.MaxIdleMillis, d.MaxIdleMillis)
	s.LateAnswerMillis = orDefault(s.LateAnswerMillis, d.LateAnswerMillis)
	s.UserTimeoutMillis = orDefault(s.UserTimeoutMillis, d.UserTimeoutMillis)
	if s.ProbePath == "" {
		s.ProbePath = d.ProbePath
	}
	return s
}

func orDefault(value, defaultValue dotterclock.Millis) dotterclock.Millis {
	if value == 0 {
		return defaultValue
	}
	return value
}
