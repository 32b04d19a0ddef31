package dotterrecord

import "unicode/utf8"

const (
	escapedBytes = 6 // a code point written as an escape sequence
	quotedBytes  = 2 // a quote or backslash
)

// textBytes returns at least how many bytes text takes in JSON.
func textBytes(text string) int {
	sum := 0
	for _, r := range text {
		switch {
		case r < ' ', r == utf8.RuneError, r == '\u2028', r == '\u2029':
			sum += escapedBytes
		case r == '"', r == '\\':
			sum += quotedBytes
		default:
			sum += utf8.RuneLen(r)
		}
	}
	return sum
}
