// Package dotterclient calls the daemon's HTTP APIs for the command line.
package dotterclient
