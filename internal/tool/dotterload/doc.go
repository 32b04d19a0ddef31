// Package dotterload implements the command line of the load generator.
package dotterload
