// Package dotterworker describes a worker as the platform's directory shows it.
package dotterworker
