package dotterrequest

// Headers of requests and answers. The header of the outcome is
// dotteroutcome.Header.
const (
	HeaderRequest        = "Dotter-Request"    // the request's ID, echoed in the answer
	HeaderTimeout        = "Dotter-Timeout"    // how long the caller waits, in milliseconds
	HeaderRepeatable     = "Dotter-Repeatable" // "false": must not run twice, even if the template allows it
	HeaderHop            = "Dotter-Hop"        // "1": forwarded by another entry host
	HeaderNotRun         = "Dotter-Not-Run"    // "true" in a backend server's answer: it refused the request
	HeaderLeaving        = "Dotter-Leaving"    // "true" in a backend server's answer: it is shutting down and takes no new requests
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HopForwarded is the value of HeaderHop in a forwarded request.
const HopForwarded = "1"

// HeaderTrue is the value of a boolean header that is set.
const HeaderTrue = "true"

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
}
