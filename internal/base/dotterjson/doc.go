// Package dotterjson decodes JSON with comments strictly.
//
// Decode names every fault that it finds with its line: fields that the target
// does not have, fields that stand twice, values of the wrong type. Names must
// match exactly; encoding/json alone would accept another case and would drop
// an earlier duplicate in silence. Locate adds lines to faults that a later
// check found.
package dotterjson
