package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/placement"
)

// copyBufferBytes is the size of the buffer through which a response is passed on.
const copyBufferBytes = 16 << 10

// passOn sends the response of a target to the caller: in one piece, so that a truncated
// one never looks complete, or as it arrives if there is no memory for it. It returns an
// error if the caller has received nothing, and does not return if the response breaks
// off later.
func (exchange *exchange) passOn(ctx context.Context, target placement.Target, response *outbound.Response) error {
	held := exchange.memory.Bytes()
	parts, complete, err := exchange.bufferResponse(response)
	if err == nil && complete {
		err = checkBody(response, parts)
	}
	if err != nil {
		exchange.memory.Shrink(exchange.memory.Bytes() - held)
		return err
	}
	if !complete {
		exchange.passOnUnbuffered(ctx, target, response, parts)
		return nil
	}
	response.Release()
	exchange.recordOutcome(target, placement.Served)
	exchange.writeResponse(response, parts)
	return nil
}

// bufferResponse reads the body of a response. complete is false if there is no memory
// for the rest of it, which can still be read.
func (exchange *exchange) bufferResponse(response *outbound.Response) (parts [][]byte, complete bool, err error) {
	switch size := response.ContentLength; {
	case response.Body == http.NoBody:
		return nil, true, nil
	case size > maxResponseBytes:
		return nil, false, errResponseTooLarge
	case size >= 0:
		if err := exchange.reserveResponse(size); err != nil {
			return nil, false, nil
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, false, err
		}
		return [][]byte{body}, true, nil
	}
	parts, _, err = readParts(response.Body, maxResponseBytes, exchange.reserveResponse)
	var exhausted *memory.ExhaustedError
	switch {
	case errors.As(err, &exhausted):
		return parts, false, nil
	case errors.Is(err, errBodyTooLarge):
		return nil, false, errResponseTooLarge
	}
	return parts, err == nil, err
}

// reserveResponse reserves the memory of a response or a part of it. A large response can
// be passed on without it.
func (exchange *exchange) reserveResponse(bytes int64) error {
	if bytes > memory.SmallBytes {
		return exchange.memory.GrowSpare(bytes)
	}
	return exchange.memory.Grow(bytes)
}

// passOnUnbuffered sends a response to the caller as it arrives, after the parts that were
// read. If the response breaks off, it aborts the connection of the caller.
func (exchange *exchange) passOnUnbuffered(ctx context.Context, target placement.Target, response *outbound.Response, parts [][]byte) {
	handler := exchange.handler
	handler.metrics.Count("responses_unbuffered")
	if response.ContentLength >= 0 {
		exchange.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	exchange.writeHead(response)
	written, readErr, writeErr := exchange.copyBody(response.Body, parts)
	if readErr == nil && writeErr == nil {
		response.Release()
		exchange.recordOutcome(target, placement.Served)
		exchange.recordServed(log.Fields{"status": response.StatusCode, "bytes": written, "buffered": false})
		return
	}
	response.Abort()
	exchange.possibleRuns++
	outcome := placement.Failed
	if writeErr != nil || ctx.Err() != nil {
		outcome = placement.Abandoned
	}
	exchange.recordOutcome(target, outcome)
	handler.metrics.Count("responses_cut")
	handler.logger.WithFields(exchange.logFields()).WithFields(log.Fields{"target": target.ID, "bytes": written}).
		WithError(errors.Join(readErr, writeErr)).Info("response aborted before its end")
	exchange.abort()
}

// copyBody writes parts of a body and the rest of it to the caller, up to the size limit
// of responses. It returns the bytes written, and the error of the side that has failed.
func (exchange *exchange) copyBody(body io.Reader, parts [][]byte) (written int64, readErr, writeErr error) {
	for _, part := range parts {
		count, err := exchange.writer.Write(part)
		if written += int64(count); err != nil {
			return written, nil, err
		}
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		count, readErr := body.Read(buffer)
		if written+int64(count) > maxResponseBytes {
			return written, errResponseTooLarge, nil
		}
		sent, writeErr := exchange.writer.Write(buffer[:count])
		if written += int64(sent); writeErr != nil {
			return written, nil, writeErr
		}
		if readErr == io.EOF {
			return written, nil, nil
		}
		if readErr != nil {
			return written, readErr, nil
		}
	}
}

// writeResponse sends a buffered response to the caller.
func (exchange *exchange) writeResponse(response *outbound.Response, parts [][]byte) {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if mayHaveBody(exchange.request.Method, response.StatusCode) {
		exchange.writer.Header().Set("Content-Length", strconv.Itoa(size))
	}
	exchange.writeHead(response)
	for _, part := range parts {
		if _, err := exchange.writer.Write(part); err != nil {
			exchange.handler.logger.WithFields(exchange.logFields()).WithError(err).Info("caller disconnected before the response was written")
			return
		}
	}
	exchange.recordServed(log.Fields{"status": response.StatusCode, "bytes": size})
}

var errResponseTooLarge = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
