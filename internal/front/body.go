package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
)

const (
	bodyTimeout     = 10 * time.Second // to receive the body of a request
	defaultMaxBody  = 4 << 20          // bytes, for configurations without a limit
	firstPartBytes  = 4 << 10          // size of the first part of a body without a length
	maxPartBytes    = 512 << 10        // size up to which the parts double
	requestOverhead = 24 << 10         // memory of a request with a small body: stacks, buffers, headers and the body
	smallBodyBytes  = firstPartBytes   // size of a body that is part of it
	joinedBodyBytes = 64 << 10         // size up to which a body is copied when it is sent
)

// errBodyTooLarge reports a body over the limit of the configuration.
var errBodyTooLarge = errors.New("body of the request is too large")

// readBody reads the body within the limits of size and time. It reserves the memory of a
// body with a length before it reads any of it.
func (exchange *exchange) readBody(incoming *http.Request, limits route.Limits) *rejection {
	if incoming.ContentLength == 0 {
		return nil
	}
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	if incoming.ContentLength > maxBytes {
		return newRejection(http.StatusRequestEntityTooLarge, "body_too_large")
	}
	controller := http.NewResponseController(exchange.writer)
	if err := controller.SetReadDeadline(time.Now().Add(min(bodyTimeout, exchange.timeLeft()))); err != nil {
		return newRejection(http.StatusServiceUnavailable, "connection_lost").withCause(err)
	}
	body, err := exchange.receive(incoming, maxBytes)
	var exhausted *memory.ExhaustedError
	var netError net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		return newRejection(http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.As(err, &exhausted):
		return exchange.memoryRejection(err)
	case errors.As(err, &netError) && netError.Timeout():
		return newRejection(http.StatusRequestTimeout, "body_timeout").withCause(err)
	case err != nil:
		return newRejection(http.StatusBadRequest, "body_incomplete").withCause(err)
	}
	exchange.request.Body, exchange.body, exchange.unreadBody = body, body, false
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return newRejection(http.StatusServiceUnavailable, "connection_lost").withCause(err)
	}
	return nil
}

// receive returns the body of a request. It returns errBodyTooLarge, an error that wraps
// a *memory.ExhaustedError, or the error of the connection.
func (exchange *exchange) receive(incoming *http.Request, maxBytes int64) (request.Body, error) {
	if size := incoming.ContentLength; size > 0 {
		if err := exchange.memory.Grow(bodyMemory(size)); err != nil {
			return nil, err
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(incoming.Body, body); err != nil {
			return nil, err
		}
		return request.Body{body}, nil
	}
	// A body that is not small may be as large as the limit. Its memory is reserved at
	// once, so that it is not refused in the middle.
	reserved, whole := int64(0), bodyMemory(maxBytes)
	parts, size, err := readParts(incoming.Body, maxBytes, func(bytes int64) error {
		total := reserved + bytes
		if total <= smallBodyBytes || reserved >= whole {
			reserved = total
			return nil
		}
		needed := 2 * bytes // it may be copied
		if total > joinedBodyBytes {
			needed = whole - exchange.memory.Bytes()
			total = whole
		}
		if err := exchange.memory.Grow(needed); err != nil {
			return err
		}
		reserved = total
		return nil
	})
	if err == nil && size > joinedBodyBytes {
		exchange.memory.Shrink(whole - size - maxPartBytes) // the last part has room left
	}
	return parts, err
}

// bodyMemory returns the memory that a body occupies beside the overhead of its request,
// in bytes. One that is not large is copied when it is sent.
func bodyMemory(size int64) int64 {
	switch {
	case size <= smallBodyBytes:
		return 0
	case size <= joinedBodyBytes:
		return 2 * size
	default:
		return size
	}
}

// readParts reads up to the end of a body of unknown length, in parts for which memory is
// reserved first. With an error it returns the parts that were read before. It returns
// errBodyTooLarge if there are more than maxBytes, and a *memory.ExhaustedError if there
// is no memory for the next part.
func readParts(reader io.Reader, maxBytes int64, reserve func(bytes int64) error) (parts [][]byte, size int64, err error) {
	partBytes := int64(firstPartBytes)
	for {
		if err := reserve(partBytes); err != nil {
			return parts, size, err
		}
		part := make([]byte, partBytes)
		count, err := readFull(reader, part)
		if count > 0 {
			parts = append(parts, part[:count])
		}
		if size += int64(count); size > maxBytes {
			return parts, size, fmt.Errorf("over %d bytes: %w", maxBytes, errBodyTooLarge)
		}
		if err == io.EOF {
			return parts, size, nil
		}
		if err != nil {
			return parts, size, err
		}
		partBytes = min(2*partBytes, maxPartBytes)
	}
}

// readFull fills a buffer. Unlike io.ReadFull it returns the error of the reader as it is,
// so that a body that breaks off differs from one that ends.
func readFull(reader io.Reader, buffer []byte) (int, error) {
	filled := 0
	for filled < len(buffer) {
		count, err := reader.Read(buffer[filled:])
		if filled += count; err != nil {
			return filled, err
		}
	}
	return filled, nil
}
