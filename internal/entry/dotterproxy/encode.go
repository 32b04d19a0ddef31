package dotterproxy

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// copyBufferBytes is the size of the buffer through which a long response is
// streamed.
const copyBufferBytes = 32 << 10

// writeRefusal writes refusal as an error response with an ErrorBody.
func writeRefusal(w http.ResponseWriter, id string, refusal *dotterrequest.Refusal) {
	header := w.Header()
	header.Set(dotteroutcome.Header, string(refusal.Outcome))
	header.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(wholeSeconds(refusal.RetryAfter), 10))
	}
	body, err := json.Marshal(ErrorBody{
		Outcome:          refusal.Outcome,
		Error:            refusal.Text,
		Reason:           refusal.Reason,
		RetryAfterMillis: refusal.RetryAfter,
		Request:          id,
	})
	if err != nil {
		panic(err) // an ErrorBody can always be encoded
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(body)
}

// wholeSeconds returns duration in seconds, rounded up.
func wholeSeconds(duration dotterclock.Millis) int64 {
	return int64((duration + dotterclock.Second - 1) / dotterclock.Second)
}

// writeAnswer writes answer to w and reports whether it was written completely.
// Streaming a long answer fails after writeTimeout.
func writeAnswer(w http.ResponseWriter, answer dotterrequest.Answer, writeTimeout time.Duration) bool {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(dotteroutcome.Header, string(answer.Outcome))
	if answer.Complete() {
		w.WriteHeader(answer.Status)
		_, err := w.Write(answer.Start)
		return err == nil || len(answer.Start) == 0
	}
	control := http.NewResponseController(w)
	// A caller that stops reading must not keep the backend server's slot occupied.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(answer.Status)
	complete := copyFlushed(w, control, answer)
	_ = control.SetWriteDeadline(time.Time{})
	return complete
}

// copyFlushed streams the body of answer to w, flushing after every read, and
// reports whether it was copied completely.
func copyFlushed(w io.Writer, control *http.ResponseController, answer dotterrequest.Answer) bool {
	_, err := w.Write(answer.Start)
	if err != nil {
		return false
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := answer.Rest.Read(buffer)
		_, err := w.Write(buffer[:n])
		if err != nil {
			return false
		}
		if readErr == io.EOF {
			return true
		}
		if readErr != nil || control.Flush() != nil {
			return false
		}
	}
}
