// Package dotterworker defines a worker as listed in the platform's directory.
package dotterworker
