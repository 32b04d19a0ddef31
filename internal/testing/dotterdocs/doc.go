// Package dotterdocs holds the pages to the code: each test that docs/PROOF.md
// names must exist.
package dotterdocs
