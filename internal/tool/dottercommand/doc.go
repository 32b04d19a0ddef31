// Package dottercommand is the command line for operators and callers.
//
// Each command is a type with its flags as fields and an Execute method, in a
// file of its own. Results go to the standard output, as text or, with
// --output json, as one JSON value; progress and errors go to the standard
// error. The exit code says what happened: see the Exit constants.
package dottercommand
