// Package dotterlist reads the platform's host list over HTTP.
package dotterlist
