package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/godwitspread/godwitspread/internal/outbound"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
	"github.com/godwitspread/godwitspread/platform"
)

// Reasons for which a response with the ID of the attempt is not passed on.
var (
	errAmbiguous    = errors.New("head of the response contradicts itself")
	errUnsigned     = errors.New("successful response has no signature")
	errContradicted = errors.New("target has stated that the request has not run, and has sent another response to it")
	errInterrupted  = errors.New("body of the response contains another one")
)

// checkHead returns an error if the head of a response is of no use: the request may have
// run, and the caller must not take the response for a success or for the promise that it
// has not run.
func (exchange *exchange) checkHead(ctx context.Context, response *outbound.Response, head request.Response) error {
	switch {
	case head.Ambiguous:
		return errAmbiguous
	case head.NotRun:
		return exchange.checkRefusal(ctx, response)
	case platform.PromisesNotRun(head.Status, exchange.route.Kind == route.Streaming):
		return fmt.Errorf("response with status %d does not state that the request has not run", head.Status)
	case head.Status < http.StatusMultipleChoices && !head.Signed:
		return errUnsigned
	}
	return nil
}

// checkRefusal returns an error if the target has sent another response to the request
// together with its refusal. A request that may run again need not know.
func (exchange *exchange) checkRefusal(ctx context.Context, response *outbound.Response) error {
	if exchange.route.Idempotent() {
		return nil
	}
	rest, err := response.Remainder(ctx)
	attempt := exchange.request.Attempt
	next, found := outbound.FindResponse(rest)
	if found {
		following, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(next)), nil)
		if err == nil {
			if head := platform.DecodeResponse(following.StatusCode, following.Header); !head.Ambiguous && (head.NotRun || head.Attempt != attempt) {
				return nil
			}
		}
	}
	if (found || err != nil) && bytes.Contains(rest, []byte(attempt)) {
		return errContradicted
	}
	return nil
}

// checkBody returns an error if the target seems to have written another response into the
// body: the rest of the body then follows after its end.
func checkBody(response *outbound.Response, parts [][]byte) error {
	surplus := response.Surplus()
	if len(surplus) == 0 {
		return nil
	}
	var border []byte
	for _, part := range append(parts[:len(parts):len(parts)], surplus[:min(len(surplus), outbound.StatusLineBytes-1)]) {
		border = append(border, part[:min(len(part), outbound.StatusLineBytes-1)]...)
		_, across := outbound.FindResponse(border)
		if _, within := outbound.FindResponse(part); across || within {
			return errInterrupted
		}
		border = append([]byte(nil), part[max(0, len(part)-outbound.StatusLineBytes+1):]...)
	}
	return nil
}
