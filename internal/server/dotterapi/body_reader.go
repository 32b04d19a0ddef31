package dotterapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"golang.org/x/sync/semaphore"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterjson"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterintake"
	"github.com/dotterelusher/dotterelusher/internal/model/dottermessage"
	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// decodeTimeout bounds how long a body waits until it is decoded.
const decodeTimeout = 10 * dotterclock.Second

// bodyReader reads and decodes bodies. A decoded body takes many times the memory of its text, so
// that only as much as one body of the largest size is decoded at a time.
type bodyReader struct {
	largest  int64 // bytes
	decoding *semaphore.Weighted
}

func newBodyReader(largest int64) *bodyReader {
	return &bodyReader{largest: largest, decoding: semaphore.NewWeighted(largest)}
}

// read decodes the request body into target. If that fails, it writes an error answer and
// returns false.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request, target any) bool {
	body, err := dotterintake.ReadBody(w, r, b.largest, 0)
	switch {
	case errors.Is(err, dotterintake.ErrTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, dottermessage.ErrorAnswer{
			Outcome: dotteroutcome.NotRun, Reason: "TooLarge",
			Error: "the body is larger than " + strconv.FormatInt(b.largest, 10) + " bytes",
		})
		return false
	case errors.Is(err, dotterintake.ErrBusy):
		writeBusy(w, "Memory", err)
		return false
	case errors.Is(err, dotterintake.ErrLate):
		writeBusy(w, "Late", err)
		return false
	case err != nil:
		writeError(w, http.StatusBadRequest, dottermessage.ErrorAnswer{
			Outcome: dotteroutcome.NotRun, Reason: "Incomplete", Error: err.Error(),
		})
		return false
	}
	return b.decode(w, r, body, target)
}

func (b *bodyReader) decode(w http.ResponseWriter, r *http.Request, body []byte, target any) bool {
	ctx, cancel := context.WithTimeout(r.Context(), decodeTimeout.Duration())
	defer cancel()
	if err := b.decoding.Acquire(ctx, int64(len(body))); err != nil {
		writeBusy(w, "Memory", dotterintake.ErrBusy)
		return false
	}
	defer b.decoding.Release(int64(len(body)))
	if err := dotterjson.Decode("body", body, target); err != nil {
		writeFaults(w, err)
		return false
	}
	if sized, ok := target.(interface{ Footprint() int64 }); ok && !dotterintake.Keep(r, sized.Footprint()) {
		writeBusy(w, "Memory", dotterintake.ErrBusy)
		return false
	}
	return true
}
