// Package dottercheck collects the faults of a document that a person wrote.
//
// A check goes through the whole document and names every fault, each by the
// JSON pointer (RFC 6901) of the field, the value found and the range allowed.
// Who decoded the document adds the file and the line.
package dottercheck
