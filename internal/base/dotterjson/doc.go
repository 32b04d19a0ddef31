// Package dotterjson decodes JSON with comments strictly.
//
// Decode reports every unknown field, duplicate field and value of the wrong type
// with its line. Field names must match exactly, whereas encoding/json ignores case
// and silently drops all but the last of several duplicates. Locate adds lines to
// faults that a later check reports.
//
// A document may come from a caller that nobody controls: what Decode holds and how deep it goes is bounded
// by the length of the document and by the type that it is decoded into.
package dotterjson
