package configuration

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"
)

// CheckUnicode rejects a JSON text with bytes that are not UTF-8, or with an escaped surrogate that
// is not part of a pair. Such text changes when it is decoded and encoded again, and two different
// names may become the same one. It returns nil for other text, even if that is no JSON.
func CheckUnicode(text []byte) Faults {
	at, length := invalidUnicode(text)
	if at < 0 {
		return nil
	}
	fault := Fault{
		Path:    pathAt(text, at),
		Value:   strings.Trim(strconv.QuoteToASCII(string(text[at:at+length])), `"`),
		Allowed: "text in UTF-8, with escaped surrogates in pairs only",
	}
	return Faults{fault.WithKind(UnreadableText)}
}

const escapeLength = len(`\uFFFF`)

// invalidUnicode returns the position and length of the first invalid byte or escape, or -1.
func invalidUnicode(text []byte) (at, length int) {
	for i := 0; i < len(text); {
		if text[i] == '\\' {
			size, valid := escape(text[i:])
			if !valid {
				return i, size
			}
			i += size
			continue
		}
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i, 1
		}
		i += size
	}
	return -1, 0
}

// escape returns the length of the escape, or pair of escaped surrogates, that a text begins with.
func escape(text []byte) (length int, valid bool) {
	first, ok := escapedUnit(text)
	switch {
	case !ok:
		return min(2, len(text)), true
	case !utf16.IsSurrogate(first):
		return escapeLength, true
	}
	second, ok := escapedUnit(text[escapeLength:])
	if !ok || utf16.DecodeRune(first, second) == utf8.RuneError {
		return escapeLength, false
	}
	return 2 * escapeLength, true
}

// escapedUnit decodes a \uXXXX escape.
func escapedUnit(text []byte) (rune, bool) {
	if len(text) < escapeLength || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:escapeLength]), 16, 16)
	return rune(unit), err == nil
}

// container is an object or list around a position, with the current name or index in it.
type container struct {
	isList      bool
	name        string
	index       int
	expectsName bool
}

// pathAt returns the path of the value or name at a position of a JSON text, as far as it is JSON.
func pathAt(text []byte, at int) string {
	decoder := json.NewDecoder(bytes.NewReader(text))
	var open []container
	for {
		token, err := decoder.Token()
		if err != nil {
			return formatPath(open)
		}
		if top := len(open) - 1; top >= 0 && !isEnd(token) {
			open[top].advance(token)
		}
		if decoder.InputOffset() > int64(at) {
			return formatPath(open)
		}
		switch delimiter, _ := token.(json.Delim); delimiter {
		case '{', '[':
			open = append(open, container{isList: delimiter == '[', index: -1, expectsName: delimiter == '{'})
		case '}', ']':
			open = open[:len(open)-1]
		}
	}
}

func isEnd(token json.Token) bool { return token == json.Delim('}') || token == json.Delim(']') }

// advance takes the first token of the next name or value.
func (c *container) advance(token json.Token) {
	switch {
	case c.isList:
		c.index++
	case c.expectsName:
		c.name, _ = token.(string)
		c.expectsName = false
	default:
		c.expectsName = true
	}
}

func formatPath(open []container) string {
	path := ""
	for _, c := range open {
		if c.isList {
			path += "[" + strconv.Itoa(max(c.index, 0)) + "]"
		} else {
			path = joinPath(path, c.name)
		}
	}
	if path == "" {
		return "$"
	}
	return path
}
