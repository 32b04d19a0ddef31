// Package dotterapi implements the daemon's HTTP APIs.
//
// CallerAPI serves requests to services, tasks and cancellations. OperatorAPI
// listens on a separate address and serves the configuration, status, decisions,
// usage, metrics and health checks. Both answer in JSON. Each answer to a caller has
// its outcome in a header, and each refusal says when a retry is worthwhile.
package dotterapi
