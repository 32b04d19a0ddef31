// Package dotterapi serves the daemon's HTTP APIs.
//
// Callers reach Caller: requests to services, tasks and cancellations.
// Operators reach Operator on an address of its own: configuration, status,
// decisions, usage, metrics and health. Both answer JSON; every answer to a
// caller carries its outcome in a header, and every refusal says when a
// repetition is worth while.
package dotterapi
