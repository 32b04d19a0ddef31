package dotterrequest

import (
	"net/http"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// WithoutHopByHop returns a copy of header without what belongs to one connection.
func WithoutHopByHop(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		passed = make(http.Header)
	}
	for _, v := range header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}

// FromBackend returns a copy of a backend server's header that may be passed on
// to a caller: it can't speak for this host.
func FromBackend(header http.Header) http.Header {
	passed := WithoutHopByHop(header)
	passed.Del(dotteroutcome.Header)
	passed.Del(HeaderRequest)
	passed.Del(HeaderNotRun)
	passed.Del(HeaderLeaving)
	return passed
}
