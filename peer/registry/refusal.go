package registry

import (
	"encoding/json"

	"saffronfall/rule/configuration"
)

// Refusal is an operator's table or amendment that was refused for its content.
type Refusal struct {
	// Number is that of the refused table, or zero if it is not known.
	Number uint64
	Faults configuration.Faults
}

// RefusalCause says why an order was refused, in metrics and logs.
type RefusalCause string

const (
	// CauseUnreadable: the text did not come whole or cannot be decoded.
	CauseUnreadable RefusalCause = "unreadable"
	// CauseUnknownWord: it has a word or a setting that this version does not know.
	CauseUnknownWord RefusalCause = "unknown_word"
	// CauseInvalid: it has a value that is not allowed.
	CauseInvalid RefusalCause = "invalid"
)

// RefusalCauses lists all causes.
var RefusalCauses = []RefusalCause{CauseUnreadable, CauseUnknownWord, CauseInvalid}

// Cause returns that of the first fault which is more than an invalid value.
func (r Refusal) Cause() RefusalCause {
	for _, fault := range r.Faults {
		switch fault.Kind() {
		case configuration.UnreadableText:
			return CauseUnreadable
		case configuration.UnknownWord, configuration.UnknownSetting:
			return CauseUnknownWord
		}
	}
	return CauseInvalid
}

// NumberOf returns the number of a table, under the given name in its JSON text. It returns zero if
// there is none.
func NumberOf(text []byte, name string) uint64 {
	var fields map[string]json.RawMessage
	var number uint64
	if json.Unmarshal(text, &fields) != nil || json.Unmarshal(fields[name], &number) != nil {
		return 0
	}
	return number
}
