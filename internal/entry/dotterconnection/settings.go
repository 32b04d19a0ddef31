package dotterconnection

import "github.com/dotterelusher/dotterelusher/internal/base/dotterclock"

// Settings bounds the time that connections are waited for. The zero value of a
// field stands for its default.
type Settings struct {
	DialMillis      dotterclock.Millis // longest wait for a new connection
	ProbeIdleMillis dotterclock.Millis // idle time after which a connection is probed before use
	ProbeMillis     dotterclock.Millis // longest wait for the answer to a probe
	MaxIdleMillis   dotterclock.Millis // idle time after which a connection is closed
	LateAnswerMillis      dotterclock.Millis // how long the answer of a lost exchange is still read
	UserMillis      dotterclock.Millis // TCP user timeout: longest wait for an acknowledgement
	ProbePath       string             // path that a backend server answers without using a slot
}

// Default returns the settings used for fields that are left out.
func Default() Settings {
	return Settings{
		DialMillis:      500,
		ProbeIdleMillis: 2 * dotterclock.Second,
		ProbeMillis:     500,
		MaxIdleMillis:   30 * dotterclock.Second,
		LateAnswerMillis:      5 * dotterclock.Second,
		UserMillis:      3 * dotterclock.Second,
		ProbePath:       "/healthz",
	}
}

// WithDefaults returns a copy of s in which every zero field has its default.
func (s Settings) WithDefaults() Settings {
	d := Default()
	s.DialMillis = orDefault(s.DialMillis, d.DialMillis)
	s.ProbeIdleMillis = orDefault(s.ProbeIdleMillis, d.ProbeIdleMillis)
	s.ProbeMillis = orDefault(s.ProbeMillis, d.ProbeMillis)
	s.MaxIdleMillis = orDefault(s.MaxIdleMillis, d.MaxIdleMillis)
	s.LateAnswerMillis = orDefault(s.LateAnswerMillis, d.LateAnswerMillis)
	s.UserMillis = orDefault(s.UserMillis, d.UserMillis)
	if s.ProbePath == "" {
		s.ProbePath = d.ProbePath
	}
	return s
}

func orDefault(value, otherwise dotterclock.Millis) dotterclock.Millis {
	if value == 0 {
		return otherwise
	}
	return value
}
