package outbound

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// StatusLineBytes is the number of bytes by which the beginning of a response is known.
const StatusLineBytes = len("HTTP/1.1 200")

// statusLine matches the beginning of a response.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

var errOldChunks = errors.New("response of HTTP/1.0 has a transfer encoding")

// Statuses of responses. Those below http.StatusOK are informational.
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatus returns an error for a status that no response has. net/http accepts any three
// characters that are a number, and one below 100 would count as informational: what follows
// it would be taken for the response.
func checkStatus(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return fmt.Errorf("status %q of a response, expected a number from %d to %d", response.Status, minStatus, maxStatus)
	}
	return nil
}

// checkHead returns an error if a response has an impossible status, if another response
// begins within its head, so that what it says may be true of either, or if a name
// contains a space: net/http keeps such a header and does not see a length in it.
func checkHead(response *http.Response) error {
	if err := checkStatus(response); err != nil {
		return err
	}
	if statusLine.MatchString(response.Status) {
		return fmt.Errorf("status %q contains another response", response.Status)
	}
	for name, values := range response.Header {
		if strings.ContainsAny(name, " \t") {
			return fmt.Errorf("name of header %q contains a space", name)
		}
		for _, value := range values {
			if statusLine.MatchString(value) {
				return fmt.Errorf("header %s contains another response", name)
			}
		}
	}
	return nil
}

// checkOldProtocol returns an error if the next response is one of HTTP/1.0 with a transfer
// encoding. net/http ignores the encoding, and would pass on the chunks as a body that is
// whole wherever it ends.
func checkOldProtocol(reader *bufio.Reader) error {
	const version = "HTTP/1.0"
	if start, err := reader.Peek(len(version)); err != nil || string(start) != version {
		return nil // ReadResponse returns the error
	}
	for {
		head, err := reader.Peek(reader.Buffered())
		head = bytes.ReplaceAll(head, []byte("\r\n"), []byte("\n"))
		head, _, complete := bytes.Cut(head, []byte("\n\n"))
		if bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding")) {
			return errOldChunks
		}
		if complete || err != nil {
			return nil
		}
		if _, err := reader.Peek(reader.Buffered() + 1); err != nil {
			return nil
		}
	}
}
