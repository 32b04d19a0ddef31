package dotterproxy

import (
	"crypto/rand"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterintake"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

const (
	maxRequestIDBytes = 128
	maxKeyBytes       = 256 // of an idempotency key

	noConfigurationRetryAfter = dotterclock.Second
	bodyMemoryRetryAfter      = 200 * dotterclock.Millisecond
	bodyLateRetryAfter        = dotterclock.Second
)

// apiHeaders lists the request headers that this API defines. They are not
// copied to the outgoing request, which sets those that apply itself.
var apiHeaders = []string{
	dotterrequest.HeaderRequest,
	dotterrequest.HeaderTimeout,
	dotterrequest.HeaderRepeatable,
	dotterrequest.HeaderHop,
}

// requestID returns the request id set by the caller, or a new one if there is
// none. It returns false if the caller's id is too long or not printable.
func requestID(r *http.Request) (string, bool) {
	id := r.Header.Get(dotterrequest.HeaderRequest)
	if id == "" {
		return rand.Text(), true
	}
	return id, printable(id, maxRequestIDBytes)
}

// printable reports whether text has at most maxBytes bytes, all of them printable
// ASCII characters other than the space.
func printable(text string, maxBytes int) bool {
	if len(text) > maxBytes {
		return false
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// decode validates r and returns the request without its body, or a refusal.
func (p *Proxy) decode(r *http.Request, id string) (dotterrequest.Request, *dotterrequest.Refusal) {
	request := dotterrequest.Request{ID: id}
	document, ok := p.options.Configuration.Current()
	if !ok {
		return request, dotterrequest.NotRun(dotterrequest.ReasonNoConfiguration, "no configuration yet", noConfigurationRetryAfter)
	}
	name, path, err := splitPath(r.URL)
	if err != nil || r.Method == http.MethodConnect {
		return request, badRequest("the path or the method is not one that can be passed on")
	}
	template, ok := p.templates.find(document, name)
	if !ok || template.Kind != dotterconfig.KindService {
		return request, dotterrequest.NotRun(dotterrequest.ReasonUnknownTemplate, "no service template "+strconv.Quote(name), 0).
			WithStatus(http.StatusNotFound)
	}
	now := p.options.Clock.Now()
	request = dotterrequest.Request{
		ID:         id,
		Template:   template,
		Revision:   document.Revision,
		Method:     r.Method,
		Path:       path,
		Query:      r.URL.RawQuery,
		Header:     outgoingHeader(r.Header),
		Key:        r.Header.Get(dotterrequest.HeaderIdempotencyKey),
		Repeatable: template.Repeatable,
		Forwarded:  r.Header.Get(dotterrequest.HeaderHop) != "",
		Arrived:    now,
	}
	return p.decodeHeaders(r.Header, request)
}

// decodeHeaders sets the fields of request that the headers of this API determine.
func (p *Proxy) decodeHeaders(header http.Header, request dotterrequest.Request) (dotterrequest.Request, *dotterrequest.Refusal) {
	timeout, err := p.timeout(header, request.Template)
	if err != nil {
		return request, badRequest(dotterrequest.HeaderTimeout + " is not a number of milliseconds above 0")
	}
	request.Deadline = request.Arrived + timeout
	switch header.Get(dotterrequest.HeaderRepeatable) {
	case "", dotterrequest.HeaderTrue:
	case "false":
		request.Repeatable = false
	default:
		return request, badRequest(dotterrequest.HeaderRepeatable + " is neither true nor false")
	}
	if !printable(request.Key, maxKeyBytes) {
		return request, badRequest(dotterrequest.HeaderIdempotencyKey + " is too long or not printable")
	}
	return request, nil
}

// timeout returns the time allowed for a request: the timeout set by the caller or
// else by the template, both capped at LongestTimeoutMillis, or else the default.
func (p *Proxy) timeout(header http.Header, template dotterconfig.Template) (dotterclock.Millis, error) {
	maxTimeout := p.options.Limits.LongestTimeoutMillis
	text := header.Get(dotterrequest.HeaderTimeout)
	if text != "" {
		requested, err := strconv.ParseInt(text, 10, 64)
		if err != nil || requested <= 0 {
			return 0, strconv.ErrRange
		}
		return min(dotterclock.Millis(requested), maxTimeout), nil
	}
	if template.TimeoutMillis > 0 {
		return min(template.TimeoutMillis, maxTimeout), nil
	}
	return p.options.Limits.TimeoutMillis, nil
}

// splitPath returns the name of the template and the rest of the escaped path.
func splitPath(u *url.URL) (name, path string, err error) {
	rest := strings.TrimPrefix(u.EscapedPath(), dotterrequest.PathPrefix)
	escaped, path, _ := strings.Cut(rest, "/")
	name, err = url.PathUnescape(escaped)
	return name, "/" + path, err
}

// outgoingHeader returns the headers of the caller's request that are copied to the
// outgoing request.
func outgoingHeader(header http.Header) http.Header {
	copied := dotterrequest.WithoutHopByHop(header)
	for _, name := range apiHeaders {
		copied.Del(name)
	}
	return copied
}

// readBody reads the body into memory. It waits for the body until the deadline of the request.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, deadline dotterclock.Millis) ([]byte, *dotterrequest.Refusal) {
	limit := int64(p.options.Limits.BodyBytes)
	body, err := dotterintake.ReadBody(w, r, limit, max(1, deadline-p.options.Clock.Now()))
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, dotterintake.ErrTooLarge):
		return nil, bodyTooLarge(limit)
	case errors.Is(err, dotterintake.ErrBusy):
		return nil, dotterrequest.NotRun(dotterrequest.ReasonMemory, "too many large requests at a time", bodyMemoryRetryAfter)
	case errors.Is(err, dotterintake.ErrLate):
		return nil, dotterrequest.NotRun(dotterrequest.ReasonTimedOut, "the body did not arrive before the deadline", bodyLateRetryAfter)
	}
	return nil, badRequest("the body could not be read to its end")
}

// badRequest returns the refusal of a malformed request, with status 400.
func badRequest(text string) *dotterrequest.Refusal {
	return dotterrequest.NotRun(dotterrequest.ReasonBadRequest, text, 0).WithStatus(http.StatusBadRequest)
}

// bodyTooLarge returns the refusal of a request whose body exceeds limit bytes, with
// status 413.
func bodyTooLarge(limit int64) *dotterrequest.Refusal {
	text := "the body has more than " + strconv.FormatInt(limit, 10) + " bytes"
	return dotterrequest.NotRun(dotterrequest.ReasonBodyTooLarge, text, 0).WithStatus(http.StatusRequestEntityTooLarge)
}
