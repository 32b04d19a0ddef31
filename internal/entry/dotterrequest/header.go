package dotterrequest

// Headers of requests and answers, besides dotteroutcome.Header.
const (
	HeaderRequest    = "Dotter-Request"    // the request's id, echoed in the answer
	HeaderTimeout    = "Dotter-Timeout"    // how long the caller waits, in milliseconds
	HeaderRepeatable = "Dotter-Repeatable" // "false" forbids what the template allows
	HeaderHop        = "Dotter-Hop"        // "1": forwarded by another entry host
	HeaderNotRun     = "Dotter-Not-Run"    // "true" in a backend server's answer: it refused the request
	HeaderLeaving    = "Dotter-Leaving"    // "true" in a backend server's answer: send it nothing new
	HeaderIdempotencyKey        = "Idempotency-Key"
)

// HopForwarded is the value of HeaderHop in a forwarded request.
const HopForwarded = "1"

// HeaderTrue is the value of a header that says yes.
const HeaderTrue = "true"

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
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
