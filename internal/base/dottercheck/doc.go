// Package dottercheck validates configuration documents and collects their faults.
//
// A check validates the whole document and reports every fault with the JSON pointer
// (RFC 6901) of the field, the value found and the allowed range. The code that
// decoded the document adds the file and the line.
package dottercheck
