package configuration

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// ValidHeaderValue reports whether a text arrives unchanged when it is sent as the value of an HTTP
// header: it is UTF-8 without control characters and without space at its ends.
func ValidHeaderValue(text string) bool {
	return utf8.ValidString(text) && strings.TrimSpace(text) == text && !strings.ContainsFunc(text, unicode.IsControl)
}
