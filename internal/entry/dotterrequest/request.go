package dotterrequest

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

// PathPrefix is the path prefix of all requests to services.
const PathPrefix = "/v1/services/"

// Request is a caller's request to a service, with its whole body.
type Request struct {
	ID         string
	Template   dotterconfig.Template
	Revision   int64 // of the configuration that Template comes from
	Method     string
	Path       string // escaped part after the template's name; starts with a slash
	Query      string
	Header     http.Header // without hop-by-hop headers and Dotter- headers
	Body       []byte
	Key        string             // idempotency key
	Repeatable bool               // it may run more than once
	Forwarded  bool               // another entry host forwarded it to this one
	Arrived    dotterclock.Millis // time at which it arrived
	Deadline   dotterclock.Millis // time after which an answer is of no use
}

// ForBackend returns the HTTP request that sends r to a backend server.
func (r Request) ForBackend(address string) *http.Request {
	return r.outgoing(address, r.Path, r.Header.Clone())
}

// ForPeer returns the HTTP request that forwards r to another entry host at time
// now. Its timeout is the time left until the deadline.
func (r Request) ForPeer(address string, now dotterclock.Millis) *http.Request {
	header := r.Header.Clone()
	header.Set(HeaderHop, HopForwarded)
	header.Set(HeaderRepeatable, strconv.FormatBool(r.Repeatable))
	header.Set(HeaderTimeout, strconv.FormatInt(int64(max(1, r.Deadline-now)), 10))
	return r.outgoing(address, PathPrefix+url.PathEscape(r.Template.Name)+r.Path, header)
}

func (r Request) outgoing(address, path string, header http.Header) *http.Request {
	header.Set(HeaderRequest, r.ID)
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		unescaped = path
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: unescaped, RawPath: path, RawQuery: r.Query},
		Host:          address,
		Header:        header,
		ContentLength: int64(len(r.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return request
}
