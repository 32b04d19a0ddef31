// Package dottercommand implements the command line for operators and callers.
//
// Each command is a type with its flags as fields and an Execute method.
// Results go to the standard output, as text or, with --output json, as one JSON
// value; progress and errors go to the standard error. The exit codes are the
// Exit constants.
package dottercommand
