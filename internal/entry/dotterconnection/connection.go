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
	bufferBytes      = 4 << 10
	maxInformational = 16 // informational (1xx) answers accepted before the final one
)

var (
	errFraming              = eris.New("the answer's end can't be told from a broken connection")
	errOtherRequest         = eris.New("the answer is to another request")
	errTooManyInformational = eris.New("too many informational answers")
)

// connection is a connection to a backend server, with its permit.
type connection struct {
	net        net.Conn
	reader     *bufio.Reader
	writer     *bufio.Writer
	permit     dotterelusher.Permit
	sent       atomic.Int64 // bytes handed to the kernel
	generation int64        // the pool's generation at the last answer on this connection
	idleSince  dotterclock.Millis
}

func newConnection(netConn net.Conn, permit dotterelusher.Permit) *connection {
	conn := &connection{net: netConn, permit: permit}
	conn.reader = bufio.NewReaderSize(netConn, bufferBytes)
	conn.writer = bufio.NewWriterSize(countingWriter{conn}, bufferBytes)
	return conn
}

// countingWriter writes to a connection and counts the bytes handed to the kernel.
type countingWriter struct{ conn *connection }

// Write writes p to the connection.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.net.Write(p)
	w.conn.sent.Add(int64(n))
	return n, err
}

// write sends request and reports whether any byte of it may have been sent.
func (conn *connection) write(request *http.Request) (sent bool, err error) {
	before := conn.sent.Load()
	err = request.Write(conn.writer)
	if err == nil {
		err = conn.writer.Flush()
	}
	return conn.sent.Load() > before, err
}

// readHead reads the status line and headers of the answer to request, skipping
// informational answers.
func (conn *connection) readHead(request *http.Request) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if isInformational(response.StatusCode) {
			continue
		}
		return response, checkHead(request, response)
	}
	return nil, errTooManyInformational
}

func isInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// checkHead returns an error if the answer is to another request, or if its body
// has no known end.
func checkHead(request *http.Request, response *http.Response) error {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errFraming
	}
	echoed := response.Header.Get(dotterrequest.HeaderRequest)
	if echoed != "" && echoed != request.Header.Get(dotterrequest.HeaderRequest) {
		return errOtherRequest
	}
	// Without a length or chunks, the end of a complete body and a connection
	// closed in the middle of it look the same.
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody {
		return errFraming
	}
	return nil
}

// reusable reports whether the connection is open and has no data to read. Data or
// an EOF on an idle connection means that the server closed it, or sent more than
// the answer to the last request.
func (conn *connection) reusable() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	raw, err := conn.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, errno := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errno == unix.EAGAIN
		return true
	})
	return err == nil && noData
}

// withdrawn reports whether the connection's permit is needed by another host.
func (conn *connection) withdrawn() bool {
	select {
	case <-conn.permit.Withdrawn():
		return true
	default:
		return false
	}
}

// applyContext makes reads and writes fail at ctx's deadline or when ctx is
// canceled. stop, which must be called once, detaches ctx again and reports whether
// ctx was not done yet. After stop, ctx no longer changes the connection's deadline.
func (conn *connection) applyContext(ctx context.Context) (stop func() bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Time{}
	}
	_ = conn.net.SetDeadline(deadline)
	interrupted := make(chan struct{})
	detach := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		_ = conn.net.SetDeadline(time.Unix(1, 0))
	})
	return func() bool {
		if detach() {
			return true
		}
		<-interrupted
		return false
	}
}

// readLateAnswer reads and discards the answer of a lost exchange. It returns an error
// if the answer was not complete before the timeout. body is nil if the head of the
// answer has not been read yet.
func (conn *connection) readLateAnswer(request *http.Request, body io.ReadCloser, timeout time.Duration) error {
	_ = conn.net.SetDeadline(time.Now().Add(timeout))
	if body == nil {
		response, err := conn.readHead(request)
		if err != nil {
			return err
		}
		body = response.Body
	}
	_, err := io.Copy(io.Discard, body)
	return err
}

// closeGracefully closes the connection for writing, waits for the server to close
// its side, and then closes the connection. It returns false if the server did not
// close within the timeout.
func (conn *connection) closeGracefully(timeout time.Duration) bool {
	defer conn.net.Close()
	halfCloser, ok := conn.net.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return true
	}
	_ = conn.net.SetDeadline(time.Now().Add(timeout))
	_, err := io.Copy(io.Discard, conn.net)
	var netErr net.Error
	return !eris.As(err, &netErr) || !netErr.Timeout()
}
