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

// copyBytes is the size of the pieces in which a long answer is passed on.
const copyBytes = 32 << 10

// writeRefusal answers with an ErrorBody.
func writeRefusal(w http.ResponseWriter, id string, refusal *dotterrequest.Refusal) {
	header := w.Header()
	header.Set(dotteroutcome.Header, string(refusal.Outcome))
	header.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(seconds(refusal.RetryAfter), 10))
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
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(body)
}

func seconds(span dotterclock.Millis) int64 {
	return int64((span + dotterclock.Second - 1) / dotterclock.Second)
}

// writeAnswer passes answer on and reports whether all of it was written.
func writeAnswer(w http.ResponseWriter, answer dotterrequest.Answer, patience time.Duration) bool {
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
	// A caller that does not read must not keep the backend server's slot.
	_ = control.SetWriteDeadline(time.Now().Add(patience))
	w.WriteHeader(answer.Status)
	whole := copyFlushed(w, control, answer)
	_ = control.SetWriteDeadline(time.Time{})
	return whole
}

func copyFlushed(w io.Writer, control *http.ResponseController, answer dotterrequest.Answer) bool {
	_, err := w.Write(answer.Start)
	if err != nil {
		return false
	}
	buffer := make([]byte, copyBytes)
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
