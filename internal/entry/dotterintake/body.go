package dotterintake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
)

// Errors of ReadBody. Nothing of the request has been handled.
var (
	// ErrTooLarge means that the body is larger than permitted.
	ErrTooLarge = eris.New("the body is larger than permitted")
	// ErrLate means that the body did not arrive in time.
	ErrLate = eris.New("the body did not arrive in time")
	// ErrBusy means that the request was refused in favour of others, because the memory for requests is used up.
	ErrBusy = eris.New("requests hold the memory that they may hold")
	// ErrIncomplete means that the body is malformed or its connection broke.
	ErrIncomplete = eris.New("the body ended early")
)

// reasons are the errors' reasons. ErrBusy is counted where it is caused.
var reasons = map[error]Reason{ErrTooLarge: ReasonTooLarge, ErrLate: ReasonLate, ErrIncomplete: ReasonIncomplete}

// firstBuffer is the size of the buffer to which a body is read first, bytes.
const firstBuffer = 4 << 10

// ReadBody returns the body of the request, which has at most largest bytes. It waits for the time
// that the caller waits for its answer, and at most for Limits.BodyTime; 0 is no time named by the
// caller. After an error the connection is closed once the request is answered.
func ReadBody(w http.ResponseWriter, r *http.Request, largest int64, wait dotterclock.Millis) ([]byte, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c := connOf(r)
	read, err := readBody(c, r, largest, wait)
	if err != nil {
		w.Header().Set("Connection", "close")
		if reason, ok := reasons[err]; ok && c != nil {
			c.door.mu.Lock()
			c.door.refused[reason]++
			c.door.mu.Unlock()
		}
		return nil, err
	}
	return read, nil
}

func readBody(c *conn, r *http.Request, largest int64, wait dotterclock.Millis) ([]byte, error) {
	if r.ContentLength > largest {
		return nil, ErrTooLarge
	}
	if c != nil {
		c.door.setLargestBody(largest)
		if !c.await(wait) {
			return nil, ErrBusy
		}
	}
	read, err := readAll(r, largest)
	switch {
	case err == nil && c != nil && !c.arrived():
		return nil, ErrBusy
	case errors.Is(err, os.ErrDeadlineExceeded) && c.isInterrupted():
		return nil, ErrBusy
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, ErrLate
	}
	return read, err
}

// readAll reads the body into a buffer that grows with what arrives.
func readAll(r *http.Request, largest int64) ([]byte, error) {
	size := largest + 1
	if r.ContentLength >= 0 {
		size = r.ContentLength + 1 // the reader reports the end only beyond the last byte
	}
	buffer := make([]byte, 0, min(size, firstBuffer))
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) > largest {
				return nil, ErrTooLarge
			}
			grown := make([]byte, len(buffer), min(size, 2*int64(cap(buffer))))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF && int64(len(buffer)) > largest:
			return nil, ErrTooLarge
		case err == io.EOF:
			return buffer, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case err != nil:
			return nil, ErrIncomplete
		}
	}
}

// Keep sets what is charged to a request, in bytes, once its body is not needed any more. It returns
// false if the budget has no room for that; then the request must be refused.
func Keep(r *http.Request, held int64) bool {
	c := connOf(r)
	if c == nil {
		return true
	}
	i := c.door.Intake
	i.mu.Lock()
	defer i.mu.Unlock()
	before := c.held
	i.charge(c, held)
	if held <= before {
		return true
	}
	now := time.Now()
	i.enforceBudget(now)
	if i.held <= i.memory() && (i.small(held) || i.heldByLarge <= i.largeShare()) {
		return true
	}
	i.recordRefusal(now, ReasonMemory)
	i.charge(c, before)
	return false
}
