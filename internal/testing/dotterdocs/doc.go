// Package dotterdocs checks the documentation against the code: every test that
// a page in docs names must exist.
package dotterdocs
