package dotterrequest

import (
	"net/http"
	"strings"

	"github.com/dotterelusher/dotterelusher/internal/model/dotteroutcome"
)

// WithoutHopByHop returns a copy of header without the hop-by-hop headers: the
// standard ones and those that the Connection header lists.
func WithoutHopByHop(header http.Header) http.Header {
	filtered := header.Clone()
	if filtered == nil {
		filtered = make(http.Header)
	}
	for _, v := range header["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			filtered.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		filtered.Del(name)
	}
	return filtered
}

// BackendHeaders returns the part of a backend server's header that may be forwarded
// to a caller. The outcome and the request ID are set by the entry host alone, and
// the signals to the entry host are not for the caller.
func BackendHeaders(header http.Header) http.Header {
	filtered := WithoutHopByHop(header)
	filtered.Del(dotteroutcome.Header)
	filtered.Del(HeaderRequest)
	filtered.Del(HeaderNotRun)
	filtered.Del(HeaderLeaving)
	return filtered
}
