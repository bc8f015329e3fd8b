package front

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
)

// Reasons for which the response of another target does not continue a stream.
var (
	errEmptyContinuation = errors.New("target has sent no further event of the stream, so that its end is not known")
	errEventWithoutID    = errors.New("event without an ID cannot continue a stream")
)

// rejectContinuation records that the response of another target is no part of the stream
// whose first events the caller has received, and returns the reason.
func (relay *relay) rejectContinuation(target placement.Target, response *outbound.Response, cause error) error {
	if cause == nil {
		cause = fmt.Errorf("response with status %d and content type %q is not a stream", response.StatusCode, response.Header.Get("Content-Type"))
	}
	handler := relay.exchange.handler
	handler.metrics.Count("continuations_rejected")
	handler.logger.WithFields(relay.exchange.logFields()).WithFields(log.Fields{
		"target": target.ID, "response_status": response.StatusCode, "began_at": relay.began.ID, "last_event": relay.lastEvent, "events": relay.events,
	}).WithError(cause).Info("response of another target does not continue the stream")
	return cause
}

// checkEvent returns an error if an event does not follow the last one. A continued stream
// consists of events with IDs, and of comments.
func (relay *relay) checkEvent(event event, continued bool) error {
	if event.id == "" {
		if continued && !event.comment {
			return errEventWithoutID
		}
		return nil
	}
	if !follows(event.id, relay.lastEvent) {
		return fmt.Errorf("event %q does not follow event %q", event.id, relay.lastEvent)
	}
	return nil
}

// follows reports whether an event may come after another one. IDs increase, if they are
// numbers.
func follows(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > lastNumber
}

// checkResumable returns a rejection if no target can continue the stream: without an ID
// of the last event, it would go on from an earlier one.
func (relay *relay) checkResumable() *rejection {
	if relay.headSent && relay.unnumbered {
		return newRejection(http.StatusBadGateway, "stream_without_ids").withCause(errEventWithoutID)
	}
	return nil
}

// checkLine returns an error if a line of an event is a part of another response: a status
// line or HTML has no field name, and a head within an event has fields of its own.
func checkLine(parsed *event, name, line []byte) error {
	parsed.comment = parsed.comment && len(name) == 0
	switch string(name) {
	case "", "id", "data", "event", "retry":
	default:
		if parsed.foreign || !isFieldName(name) {
			return fmt.Errorf("line %.40q is no part of an event", line)
		}
	}
	if bytes.Contains(line, []byte("HTTP/")) {
		_, found := outbound.FindResponse(line)
		parsed.foreign = parsed.foreign || found
	}
	return nil
}

// isFieldName reports whether the bytes may be the name of a field, or are empty as that
// of a comment. Those of a status line or of HTML are not.
func isFieldName(name []byte) bool {
	const byteOrderMark = "\xef\xbb\xbf"
	for _, char := range bytes.TrimPrefix(name, []byte(byteOrderMark)) {
		if !(char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || char == '-' || char == '_') {
			return false
		}
	}
	return true
}
