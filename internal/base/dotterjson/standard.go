package dotterjson

import "bytes"

// standardize returns data without comments and commas before the end of a list or object. They
// become blanks, so that offsets and lines stay the same.
func standardize(data []byte) []byte {
	out := bytes.Clone(data)
	comma := -1           // offset of a comma after a value that only blanks and comments have followed
	previous := byte('[') // last byte that is neither blank nor in a comment
	for i := 0; i < len(out); i++ {
		c := out[i]
		switch c {
		case ' ', '\n', '\r', '\t':
			continue
		case '/':
			i = blankComment(out, i)
			continue
		case ',':
			comma = i
			if bytes.IndexByte([]byte("[{,:"), previous) >= 0 {
				comma = -1 // no value before it, which stays a syntax error
			}
			previous = c
			continue
		case ']', '}':
			if comma >= 0 {
				out[comma] = ' '
			}
		case '"':
			i = endOfString(out, i)
		}
		comma, previous = -1, c
	}
	return out
}

// blankComment blanks the comment at start, if there is one, and returns the offset of its last byte.
func blankComment(data []byte, start int) int {
	rest := data[start:]
	length := 0
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		if length = bytes.IndexByte(rest, '\n'); length < 0 {
			length = len(rest)
		}
	case bytes.HasPrefix(rest, []byte("/*")):
		end := bytes.Index(rest[2:], []byte("*/"))
		if end < 0 {
			return start // stays a syntax error
		}
		length = 2 + end + 2
	default:
		return start
	}
	for i := range rest[:length] {
		if rest[i] != '\n' {
			rest[i] = ' '
		}
	}
	return start + length - 1
}

// endOfString returns the offset of the last byte of the string that begins at start.
func endOfString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}
