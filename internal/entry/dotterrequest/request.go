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

// PathPrefix starts the path of every request to a service.
const PathPrefix = "/v1/services/"

// Request is a caller's request to a service, complete with its body.
type Request struct {
	ID         string
	Template   dotterconfig.Template
	Revision   int64 // of the configuration that Template is from
	Method     string
	Path       string // escaped, after the template's name; starts with a slash
	Query      string
	Header     http.Header // as passed on
	Body       []byte
	Key        string             // idempotency key
	Repeatable bool               // whether it may run more than once
	Forwarded  bool               // whether another entry host forwarded it
	Arrived    dotterclock.Millis // instant of its arrival
	Deadline   dotterclock.Millis // instant after which no answer is of use
}

// ForBackend returns r as it is sent to a backend server.
func (r Request) ForBackend(address string) *http.Request {
	return r.outgoing(address, r.Path, r.Header.Clone())
}

// ForPeer returns r as it is forwarded to another entry host at the instant now.
func (r Request) ForPeer(address string, now dotterclock.Millis) *http.Request {
	header := r.Header.Clone()
	header.Set(HeaderHop, HopForwarded)
	header.Set(HeaderRepeatable, strconv.FormatBool(r.Repeatable))
	header.Set(HeaderTimeout, strconv.FormatInt(int64(max(1, r.Deadline-now)), 10))
	return r.outgoing(address, PathPrefix+url.PathEscape(r.Template.Name)+r.Path, header)
}

func (r Request) outgoing(address, path string, header http.Header) *http.Request {
	header.Set(HeaderRequest, r.ID)
	plain, err := url.PathUnescape(path)
	if err != nil {
		plain = path
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: address, Path: plain, RawPath: path, RawQuery: r.Query},
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
