// Package dottermeter defines the Prometheus metrics of service requests, which
// are served at /metrics.
package dottermeter
