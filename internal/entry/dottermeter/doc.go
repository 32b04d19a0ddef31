// Package dottermeter counts what becomes of service requests, for /metrics.
package dottermeter
