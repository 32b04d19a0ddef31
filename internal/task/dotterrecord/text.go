package dotterrecord

import "unicode/utf8"

const (
	unicodeEscapeBytes = 6 // a code point written as \uXXXX
	shortEscapeBytes   = 2 // an escaped quote or backslash
)

// textBytes returns an upper bound on the length of text in JSON, without quotes.
func textBytes(text string) int {
	sum := 0
	for _, r := range text {
		switch {
		case r < ' ', r == utf8.RuneError, r == '\u2028', r == '\u2029':
			sum += unicodeEscapeBytes
		case r == '"', r == '\\':
			sum += shortEscapeBytes
		default:
			sum += utf8.RuneLen(r)
		}
	}
	return sum
}
