package dotterproxy

import (
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// ErrorBody is the JSON body of an answer that is not the backend server's.
type ErrorBody struct {
	Outcome          dotteroutcome.Outcome
	Error            string
	Reason           dotterrequest.Reason
	RetryAfterMillis dotterclock.Millis // 0: repeating it as it is does not help, or is not known to
	Request          string
}
