package dotterapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dottercheck"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// minRetryAfter is the minimum delay that refused callers are told to wait before a retry.
const minRetryAfter dotterclock.Millis = 1000

// writeFaults answers 400 and lists the invalid fields if err is a *dottercheck.Faults.
func writeFaults(w http.ResponseWriter, err error) {
	answer := dottermessage.ErrorAnswer{Outcome: dotteroutcome.NotRun, Reason: "Invalid", Error: err.Error()}
	var faults *dottercheck.Faults
	if errors.As(err, &faults) {
		answer.Faults = faults.List
	}
	writeError(w, http.StatusBadRequest, answer)
}

// writeBusy answers that the request was not run, in favour of others or because it came late.
func writeBusy(w http.ResponseWriter, reason string, err error) {
	writeError(w, http.StatusServiceUnavailable, dottermessage.ErrorAnswer{
		Outcome: dotteroutcome.NotRun, Reason: reason, Error: err.Error(), RetryAfterMillis: minRetryAfter,
	})
}

// writeTaskError writes an error of the task service. Unlisted errors, such as timeouts,
// leave the outcome unknown.
func (c *CallerAPI) writeTaskError(w http.ResponseWriter, err error) {
	answer := dottermessage.ErrorAnswer{Outcome: dotteroutcome.NotRun, Error: err.Error()}
	switch {
	case errors.Is(err, dotterelusher.ErrTaskInvalid):
		answer.Reason = "Invalid"
		writeError(w, http.StatusBadRequest, answer)
	case errors.Is(err, dotterelusher.ErrTaskNotFound):
		answer.Reason = "NotFound"
		writeError(w, http.StatusNotFound, answer)
	case errors.Is(err, dotterelusher.ErrTaskRefused):
		answer.Reason = "Refused"
		answer.RetryAfterMillis = max(c.tasks.RetryAfter(), minRetryAfter)
		writeError(w, http.StatusServiceUnavailable, answer)
	default:
		answer.Outcome = dotteroutcome.Unknown
		answer.Reason = "Unknown"
		answer.RetryAfterMillis = max(c.tasks.RetryAfter(), minRetryAfter)
		writeError(w, http.StatusGatewayTimeout, answer)
	}
}

// writeError writes an error answer with its outcome header. Retry-After is in seconds,
// rounded up.
func writeError(w http.ResponseWriter, status int, answer dottermessage.ErrorAnswer) {
	w.Header().Set(dotteroutcome.Header, string(answer.Outcome))
	if answer.RetryAfterMillis > 0 {
		seconds := (answer.RetryAfterMillis + dotterclock.Second - 1) / dotterclock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(w, status, answer)
}

// writeDone writes body with the outcome Done.
func writeDone(w http.ResponseWriter, status int, body any) {
	w.Header().Set(dotteroutcome.Header, string(dotteroutcome.Done))
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // answers can always be encoded
	}
	encoded = append(encoded, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, dottermessage.ErrorAnswer{
		Outcome: dotteroutcome.NotRun, Reason: "NotFound", Error: "there is no " + r.Method + " " + r.URL.Path,
	})
}

func healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ Healthy bool }{true})
}

// writeReadiness answers 200 if there are no reasons for the host not to be ready, else 503.
func writeReadiness(w http.ResponseWriter, reasons []string) {
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, struct{ NotReady []string }{reasons})
}
