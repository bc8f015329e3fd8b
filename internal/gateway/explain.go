package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/godwitspread/godwitspread/internal/explain"
	"github.com/godwitspread/godwitspread/internal/memory"
)

const (
	// maxExplainedBytes bounds the message of a request that is to be explained.
	maxExplainedBytes = 1 << 20
	// explainedTimeout bounds the time to read it, while other requests are not explained.
	explainedTimeout = time.Second
)

// explainRequest responds with a report on the request whose HTTP/1.1 message is in the
// body. It explains one request at a time, so that explanations take no more than a small
// part of a host.
func (gateway *Gateway) explainRequest(ctx *gin.Context) {
	if !gateway.explaining.TryLock() {
		ctx.String(http.StatusTooManyRequests, "host is explaining another request")
		return
	}
	defer gateway.explaining.Unlock()
	// A reservation could release cached turns and count as refused.
	if !gateway.memory.HasRoom(memory.Admission, 2*maxExplainedBytes) {
		ctx.String(http.StatusServiceUnavailable, "host has no memory to explain a request")
		return
	}
	controller := http.NewResponseController(ctx.Writer)
	// Socket deadlines are in real time, even if the clock is a fake.
	if err := controller.SetReadDeadline(time.Now().Add(explainedTimeout)); err != nil {
		ctx.String(http.StatusInternalServerError, "limit the time to read the message: %v", err)
		return
	}
	incoming, content, err := readExplained(http.MaxBytesReader(ctx.Writer, ctx.Request.Body, maxExplainedBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		ctx.String(http.StatusRequestEntityTooLarge, "message is longer than %d bytes", tooLarge.Limit)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		ctx.String(http.StatusRequestTimeout, "message did not arrive within %v", explainedTimeout)
		return
	}
	if err != nil {
		ctx.String(http.StatusBadRequest, "message is no HTTP/1.1 request: %v", err)
		return
	}
	// The server ends the context of the request when a deadline for reading passes.
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		ctx.String(http.StatusInternalServerError, "remove the time limit of reading: %v", err)
		return
	}
	report := gateway.front.Explain(ctx.Request.Context(), incoming, content)
	gateway.describe(report)
	ctx.JSON(http.StatusOK, report)
}

// readExplained reads a message. A body that is shorter than the message says is left to
// the evaluation.
func readExplained(message io.Reader) (*http.Request, []byte, error) {
	content, err := io.ReadAll(message)
	if err != nil {
		return nil, nil, err
	}
	incoming, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(content)))
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(incoming.Body)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return incoming, body, err
}

// describe adds what the host knows besides the request.
func (gateway *Gateway) describe(report *explain.Report) {
	report.Host, report.DataCentre, report.Build, report.StoreReached = gateway.self.Host, gateway.self.DataCentre, build(), gateway.store.DirectReachable()
	input := func(name string, age int64) {
		report.Inputs = append(report.Inputs, explain.Input{Name: name, AgeMillis: age})
	}
	input("configuration", ageMillis(gateway.configuration.follower.ViewAge()))
	input("entries of targets", ageMillis(gateway.entries.ViewAge()))
	for _, evacuation := range gateway.evacuations.board.Evacuations() {
		input("evacuation of "+evacuation.DataCentre, explain.Millis(gateway.clock.Since(evacuation.Since)))
	}
}

// ageMillis returns the age of a view of the store, or UnknownAge if it was never complete.
func ageMillis(age time.Duration) int64 {
	if age == math.MaxInt64 {
		return explain.UnknownAge
	}
	return explain.Millis(age)
}
