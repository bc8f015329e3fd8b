package logline

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
)

// Bounds of the memory of the queue. Errors and messages can hold what callers, targets
// and other hosts have sent.
const (
	maxTextBytes  = 2 << 10 // of a message or of a field, in bytes
	maxElements   = 32      // of a list in a field
	maxQueueBytes = 1 << 20 // of the queued lines, in estimated bytes
	lineOverhead  = 256     // estimated bytes of a line, without its message and its fields
	fieldOverhead = 64      // estimated bytes of a field or element, without its text
)

// boundText returns a copy of a text that is cut to the bound. A cut text ends with its
// length. It is copied because it may be part of a much larger one, such as a body.
func boundText(text string) string {
	if len(text) <= maxTextBytes {
		return strings.Clone(text)
	}
	end := maxTextBytes
	for end > maxTextBytes-utf8.UTFMax && !utf8.RuneStart(text[end]) {
		end--
	}
	return fmt.Sprintf("%s… (%d bytes)", text[:end], len(text))
}

// boundFields returns bounded copies of fields and their estimated bytes. The values
// are copied here and not when they are written, so that no line holds a large value
// while it waits.
func boundFields(fields log.Fields) (log.Fields, int) {
	if len(fields) == 0 {
		return nil, 0
	}
	bounded, size := make(log.Fields, len(fields)), 0
	for name, value := range fields {
		value, valueSize := boundValue(value)
		bounded[name] = value
		size += fieldOverhead + len(name) + valueSize
	}
	return bounded, size
}

// boundValue returns a bounded copy of the value of a field and the estimated bytes of
// its texts.
func boundValue(value any) (any, int) {
	switch value := value.(type) {
	case nil, bool, int, int32, int64, uint32, uint64, float64, time.Duration:
		return value, 0
	case string:
		text := boundText(value)
		return text, len(text)
	case error:
		text := boundText(value.Error())
		return text, len(text)
	case []string:
		return boundList(value)
	default:
		return boundEncoded(value)
	}
}

// boundList returns a copy of a list that has at most maxElements elements, and together
// at most maxTextBytes and the last element of text. If some are left out, an element
// that says how many there were takes their place.
func boundList(list []string) (bounded []string, size int) {
	bounded = make([]string, 0, min(len(list), maxElements+1))
	textBytes := 0
	for index, element := range list {
		if index == maxElements || textBytes >= maxTextBytes {
			element = fmt.Sprintf("… (%d elements)", len(list))
			return append(bounded, element), size + fieldOverhead + len(element)
		}
		element = boundText(element)
		bounded = append(bounded, element)
		textBytes += len(element)
		size += fieldOverhead + len(element)
	}
	return bounded, size
}

// boundEncoded returns the encoding of a value of another type, or the beginning of the
// encoding as a text if it is too long. A value that cannot be encoded is replaced by
// the error.
func boundEncoded(value any) (any, int) {
	encoded, err := json.Marshal(value)
	if err != nil {
		text := boundText("encoding: " + err.Error())
		return text, len(text)
	}
	if len(encoded) > maxTextBytes {
		text := boundText(string(encoded))
		return text, len(text)
	}
	return json.RawMessage(encoded), cap(encoded)
}
