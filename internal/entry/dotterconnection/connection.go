package dotterconnection

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/dotterelusher/dotterelusher"
	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
)

const (
	bufferBytes     = 4 << 10
	maxInformations = 16 // informational (1xx) answers before the final one
)

var (
	errFraming     = eris.New("the answer's end can't be told from a broken connection")
	errForeign     = eris.New("the answer is to another request")
	errInformation = eris.New("too many informational answers")
)

// connection is one connection to a backend server, with its permit.
type connection struct {
	net       net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	permit    dotterelusher.Permit
	sent      atomic.Int64 // bytes handed to the kernel
	provenAt  int64        // the pool's count of suspicions when it answered last
	idleSince dotterclock.Millis
}

func newConnection(c net.Conn, permit dotterelusher.Permit) *connection {
	k := &connection{net: c, permit: permit}
	k.reader = bufio.NewReaderSize(c, bufferBytes)
	k.writer = bufio.NewWriterSize(countingWriter{k}, bufferBytes)
	return k
}

// countingWriter counts what the connection takes.
type countingWriter struct{ c *connection }

// Write writes p to the connection.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.net.Write(p)
	w.c.sent.Add(int64(n))
	return n, err
}

// write sends request and reports whether any byte of it can have left.
func (k *connection) write(request *http.Request) (sent bool, err error) {
	before := k.sent.Load()
	err = request.Write(k.writer)
	if err == nil {
		err = k.writer.Flush()
	}
	return k.sent.Load() > before, err
}

// readHead reads the head of the answer to request.
func (k *connection) readHead(request *http.Request) (*http.Response, error) {
	for range maxInformations {
		response, err := http.ReadResponse(k.reader, request)
		if err != nil {
			return nil, err
		}
		if informational(response.StatusCode) {
			continue
		}
		return response, checkHead(request, response)
	}
	return nil, errInformation
}

func informational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// checkHead returns an error for an answer that can't be known to be the whole
// answer to request.
func checkHead(request *http.Request, response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errFraming
	}
	echoed := response.Header.Get(dotterrequest.HeaderRequest)
	if echoed != "" && echoed != request.Header.Get(dotterrequest.HeaderRequest) {
		return errForeign
	}
	// A body that ends with the connection looks the same whole and cut off.
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return errFraming
	}
	return nil
}

// quiet reports whether nothing has come in since the last answer: an idle
// connection on which something can be read is closed or out of step.
func (k *connection) quiet() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	raw, err := k.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// withdrawn reports whether another host is to have the connection's permit.
func (k *connection) withdrawn() bool {
	select {
	case <-k.permit.Withdrawn():
		return true
	default:
		return false
	}
}

// limit makes the connection fail at ctx's deadline and when ctx ends; the
// returned function lifts that and reports whether ctx is still in force.
func (k *connection) limit(ctx context.Context) (lift func() bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Time{}
	}
	_ = k.net.SetDeadline(deadline)
	return context.AfterFunc(ctx, func() {
		_ = k.net.SetDeadline(time.Unix(1, 0))
	})
}

// finishLate reads the answer of a lost exchange until it is whole, the
// connection ends, or span is over, and reports whether it was whole.
func (k *connection) finishLate(request *http.Request, body io.ReadCloser, span time.Duration) bool {
	_ = k.net.SetDeadline(time.Now().Add(span))
	if body == nil {
		response, err := k.readHead(request)
		if err != nil {
			return false
		}
		body = response.Body
	}
	_, err := io.Copy(io.Discard, body)
	return err == nil
}

// closeOrderly ends the sending side, waits up to span for the server to end
// its own, and reports whether the server is known to have closed.
func (k *connection) closeOrderly(span time.Duration) bool {
	defer k.net.Close()
	half, ok := k.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return true
	}
	_ = k.net.SetDeadline(time.Now().Add(span))
	_, err := io.Copy(io.Discard, k.net)
	var timeout net.Error
	return !eris.As(err, &timeout) || !timeout.Timeout()
}
