package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
)

// CallHeader names the call to a plain service. HTTP libraries do not act on
// it, unlike on Idempotency-Key.
const CallHeader = "X-Godwitspread-Call"

// maxAnswer bounds the answer of a plain service, in bytes.
const maxAnswer = 4 << 20

// timeouts bounds one exchange.
type timeouts struct {
	firstByte time.Duration
	token     time.Duration
}

// Client does the HTTP exchanges with targets.
type Client struct {
	clock  clockwork.Clock
	pooled *http.Client
	fresh  *http.Client
}

// NewClient returns a client that follows no redirect, uses no proxy and
// keeps no cookies. Calls that may not be repeated get a fresh connection, so
// that the transport has no reason to send them again.
func NewClient(clock clockwork.Clock) *Client {
	build := func(transport *http.Transport) *http.Client {
		transport.Proxy = nil
		transport.DialContext = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
		transport.DisableCompression = true
		return &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &Client{
		clock:  clock,
		pooled: build(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second}),
		fresh:  build(&http.Transport{DisableKeepAlives: true}),
	}
}

// watchdog cancels an exchange that makes no progress.
type watchdog struct {
	timer  clockwork.Timer
	cancel context.CancelCauseFunc
}

var errSilent = errors.New("target fell silent")

func newWatchdog(parent context.Context, clock clockwork.Clock, limit time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	return ctx, &watchdog{timer: clock.AfterFunc(limit, func() { cancel(errSilent) }), cancel: cancel}
}

func (watchdog *watchdog) progress(limit time.Duration) { watchdog.timer.Reset(limit) }

func (watchdog *watchdog) stop() {
	watchdog.timer.Stop()
	watchdog.cancel(nil)
}

// classify names the reason of a failed exchange. Connected tells whether the
// target may have seen the request.
func classify(parent, ctx context.Context, err error, connected bool) *failure {
	text := err.Error()
	switch {
	case !connected:
		return &failure{kind: target.FailureRefused, run: refusal.NotRun, text: text}
	case errors.Is(context.Cause(ctx), errSilent):
		return &failure{kind: target.FailureTimeout, run: refusal.Unknown, text: "target sent nothing in time"}
	case errors.Is(parent.Err(), context.DeadlineExceeded):
		return &failure{kind: target.FailureTimeout, run: refusal.Unknown, text: "call reached its deadline"}
	case parent.Err() != nil:
		return &failure{kind: target.FailureCancel, run: refusal.Unknown, text: "call was cancelled"}
	default:
		return &failure{kind: target.FailureCrash, run: refusal.Unknown, text: text}
	}
}

// build returns a request that the transport cannot replay, and a flag that
// is set once the request has a connection.
func build(ctx context.Context, method, address string, body []byte) (*http.Request, *bool, error) {
	connected := new(bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("build request to target: %w", err)
	}
	request.GetBody = nil
	return request, connected, nil
}

// plain runs a call on a plain service.
func (client *Client) plain(parent context.Context, address string, dispatch program.Dispatch, limits timeouts) exchange {
	ctx, watchdog := newWatchdog(parent, client.clock, limits.firstByte)
	defer watchdog.stop()
	started := client.clock.Now()
	request, connected, err := build(ctx, http.MethodPost, "http://"+address+"/", []byte(dispatch.Input))
	if err != nil {
		return exchange{failure: &failure{kind: target.FailureRefused, run: refusal.NotRun, text: err.Error()}}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(CallHeader, dispatch.Program+"/"+dispatch.Call)
	doer := client.pooled
	if !dispatch.Repeatable {
		doer = client.fresh
	}
	response, err := doer.Do(request)
	if err != nil {
		return exchange{failure: classify(parent, ctx, err, *connected)}
	}
	defer response.Body.Close()
	first := client.clock.Since(started)
	watchdog.progress(limits.token)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return exchange{failure: classify(parent, ctx, err, true)}
	}
	if len(body) > maxAnswer {
		return exchange{failure: &failure{kind: target.FailureError, run: refusal.Ran, text: "answer is too large"}}
	}
	result := exchange{output: string(body), status: response.StatusCode, firstByte: first}
	if dispatch.Repeatable && response.StatusCode >= http.StatusBadGateway && response.StatusCode <= http.StatusGatewayTimeout {
		result.failure = &failure{kind: target.FailureError, run: refusal.Unknown, text: "target answered " + response.Status}
	}
	return result
}

// generation is the body of a request to a model engine.
type generation struct {
	Stream    string `json:"stream"`
	Program   string `json:"program"`
	Prompt    string `json:"prompt"`
	Prefix    string `json:"prefix"`
	MaxTokens int64  `json:"max_tokens"`
}

// generate runs a call on a model engine and hands its text on. Prefix is the
// part of the answer that exists already.
func (client *Client) generate(parent context.Context, address string, body generation, limits timeouts, each func(string)) exchange {
	data, err := json.Marshal(body)
	if err != nil {
		return exchange{failure: &failure{kind: target.FailureError, run: refusal.NotRun, text: err.Error()}}
	}
	return client.stream(parent, http.MethodPost, "http://"+address+"/generate", data, limits, each)
}

// resume continues a stream that broke off, from an offset of its text.
func (client *Client) resume(parent context.Context, address, stream string, offset int, limits timeouts, each func(string)) exchange {
	path := fmt.Sprintf("http://%s/streams/%s?offset=%d", address, url.PathEscape(stream), offset)
	return client.stream(parent, http.MethodGet, path, nil, limits, each)
}

func (client *Client) stream(parent context.Context, method, path string, data []byte, limits timeouts, each func(string)) exchange {
	ctx, watchdog := newWatchdog(parent, client.clock, limits.firstByte)
	defer watchdog.stop()
	started := client.clock.Now()
	request, connected, err := build(ctx, method, path, data)
	if err != nil {
		return exchange{failure: &failure{kind: target.FailureRefused, run: refusal.NotRun, text: err.Error()}}
	}
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("Content-Type", "application/json")
	response, err := client.pooled.Do(request)
	if err != nil {
		return exchange{failure: classify(parent, ctx, err, *connected)}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return exchange{failure: &failure{kind: target.FailureError, run: refusal.Unknown, text: "target answered " + response.Status}}
	}
	result := exchange{status: response.StatusCode, clock: client.clock, started: started}
	ended, err := readEvents(response.Body, func(event string, data []byte) (bool, error) {
		watchdog.progress(limits.token)
		return result.take(event, data, each)
	})
	if err != nil || !ended {
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		result.failure = classify(parent, ctx, err, true)
	}
	return result
}

// take adds one event of a stream. It reports the end of the answer.
func (exchange *exchange) take(event string, data []byte, each func(string)) (bool, error) {
	switch event {
	case "token":
		var token struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal(data, &token); err != nil {
			return false, fmt.Errorf("decode token event: %w", err)
		}
		if exchange.firstByte == 0 {
			exchange.firstByte = exchange.clock.Since(exchange.started)
		}
		exchange.output += token.Text
		each(token.Text)
	case "end":
		var usage struct {
			Prompt int `json:"prompt"`
			Reused int `json:"reused"`
			Output int `json:"output"`
		}
		if err := json.Unmarshal(data, &usage); err != nil {
			return false, fmt.Errorf("decode end event: %w", err)
		}
		exchange.report = target.Report{Prompt: usage.Prompt, Reused: usage.Reused, Output: usage.Output, FirstByte: exchange.firstByte}
		return true, nil
	}
	return false, nil
}

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// readEvents parses server-sent events until one ends the answer.
func readEvents(reader io.Reader, take func(event string, data []byte) (bool, error)) (bool, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 4096), maxEvent)
	event, data := "", ""
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "":
			ended, err := take(event, []byte(data))
			if ended || err != nil {
				return ended, err
			}
			event, data = "", ""
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case strings.HasPrefix(line, "data: "):
			data = strings.TrimPrefix(line, "data: ")
		}
	}
	return false, scanner.Err()
}

// order sends a request whose answer does not matter, such as the release of
// a prefix.
func (client *Client) order(ctx context.Context, method, path string) error {
	request, _, err := build(ctx, method, path, nil)
	if err != nil {
		return err
	}
	response, err := client.pooled.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxEvent)); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusNotFound {
		return fmt.Errorf("target answered %s", response.Status)
	}
	return nil
}
