// Package dotterproxy implements the HTTP handler that proxies callers' requests to
// backend servers.
//
// A Proxy handles all methods on /v1/services/{Template}/...: it reads the whole
// request, claims its idempotency key if it has one, sends it to a backend server
// and returns the response with its outcome. A short response is buffered
// completely before any of it is forwarded, so that a truncated one becomes an
// error with an outcome. A long response is streamed; if it is truncated, the proxy
// aborts the connection to the caller, so that the response can't be mistaken for a
// complete one.
//
// The proxy responds as soon as a request has failed. If the request was not run,
// the response has a Retry-After header where a retry can succeed.
package dotterproxy
