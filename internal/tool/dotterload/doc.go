// Package dotterload is the command line of the load generator.
package dotterload
