package dotterproxy

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/base/dotterclock"
	"github.com/dotterelusher/dotterelusher/internal/entry/dotterrequest"
	"github.com/dotterelusher/dotterelusher/internal/model/dotterconfig"
)

const (
	longestID  = 128 // bytes of a request's id
	longestKey = 256 // bytes of an idempotency key

	configurationReturn = dotterclock.Second
	memoryReturn        = 200 * dotterclock.Millisecond
)

// ownHeaders are this API's own; they are not passed on as they came.
var ownHeaders = []string{
	dotterrequest.HeaderRequest,
	dotterrequest.HeaderTimeout,
	dotterrequest.HeaderRepeatable,
	dotterrequest.HeaderHop,
}

// requestID returns the caller's id for the request, or a new one.
func requestID(r *http.Request) (string, bool) {
	id := r.Header.Get(dotterrequest.HeaderRequest)
	if id == "" {
		return rand.Text(), true
	}
	return id, printable(id, longestID)
}

func printable(text string, longest int) bool {
	if len(text) > longest {
		return false
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// decode returns the request without its body, or why it is refused.
func (p *Proxy) decode(r *http.Request, id string) (dotterrequest.Request, *dotterrequest.Refusal) {
	request := dotterrequest.Request{ID: id}
	document, ok := p.options.Configuration.Current()
	if !ok {
		return request, dotterrequest.NotRun(dotterrequest.ReasonNoConfiguration, "no configuration yet", configurationReturn)
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
		Header:     passedHeader(r.Header),
		Key:        r.Header.Get(dotterrequest.HeaderIdempotencyKey),
		Repeatable: template.Repeatable,
		Forwarded:  r.Header.Get(dotterrequest.HeaderHop) != "",
		Arrived:    now,
	}
	return p.decodeHeaders(r.Header, request)
}

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
	if !printable(request.Key, longestKey) {
		return request, badRequest(dotterrequest.HeaderIdempotencyKey + " is too long or not printable")
	}
	return request, nil
}

func (p *Proxy) timeout(header http.Header, template dotterconfig.Template) (dotterclock.Millis, error) {
	longest := p.options.Limits.LongestTimeoutMillis
	text := header.Get(dotterrequest.HeaderTimeout)
	if text != "" {
		asked, err := strconv.ParseInt(text, 10, 64)
		if err != nil || asked <= 0 {
			return 0, strconv.ErrRange
		}
		return min(dotterclock.Millis(asked), longest), nil
	}
	if template.TimeoutMillis > 0 {
		return min(template.TimeoutMillis, longest), nil
	}
	return p.options.Limits.TimeoutMillis, nil
}

// splitPath returns the template's name and the escaped path after it.
func splitPath(u *url.URL) (name, path string, err error) {
	rest := strings.TrimPrefix(u.EscapedPath(), dotterrequest.PathPrefix)
	escaped, path, _ := strings.Cut(rest, "/")
	name, err = url.PathUnescape(escaped)
	return name, "/" + path, err
}

func passedHeader(header http.Header) http.Header {
	passed := dotterrequest.WithoutHopByHop(header)
	for _, name := range ownHeaders {
		passed.Del(name)
	}
	return passed
}

// readBody takes the body in; the returned function gives its memory back.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request) (body []byte, done func(), refusal *dotterrequest.Refusal) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, func() {}, nil
	}
	limit := int64(p.options.Limits.BodyBytes)
	if r.ContentLength > limit {
		return nil, nil, tooLarge(limit)
	}
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	if !p.bodies.take(size) {
		return nil, nil, dotterrequest.NotRun(dotterrequest.ReasonMemory, "too many large requests at a time", memoryReturn)
	}
	done = func() { p.bodies.give(size) }
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, done, nil
	}
	done()
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, nil, tooLarge(limit)
	}
	return nil, nil, badRequest("the body could not be read to its end")
}

func badRequest(text string) *dotterrequest.Refusal {
	return dotterrequest.NotRun(dotterrequest.ReasonBadRequest, text, 0).WithStatus(http.StatusBadRequest)
}

func tooLarge(limit int64) *dotterrequest.Refusal {
	text := "the body has more than " + strconv.FormatInt(limit, 10) + " bytes"
	return dotterrequest.NotRun(dotterrequest.ReasonBodyTooLarge, text, 0).WithStatus(http.StatusRequestEntityTooLarge)
}
