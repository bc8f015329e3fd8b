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

// CallHeader is the header that identifies the call to a plain service. HTTP
// libraries retry requests with an Idempotency-Key header, but ignore this one.
const CallHeader = "X-Godwitspread-Call"

// maxResponseBytes is the largest response body of a plain service.
const maxResponseBytes = 4 << 20

// timeouts are the limits of one exchange.
type timeouts struct {
	firstByte time.Duration // until the first event of a stream, or the headers of a plain response
	token     time.Duration // between two events of a stream, or for the body of a plain response
}

// Client sends HTTP requests to targets.
type Client struct {
	clock  clockwork.Clock
	pooled *http.Client // reuses connections
	fresh  *http.Client // opens a connection for each request
}

// NewClient returns a client that follows no redirects and uses neither proxies
// nor cookies. Calls that aren't repeatable get a new connection, because the
// transport may resend a request if a reused connection turns out to be closed.
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

// watchdog cancels an exchange that makes no progress within a time limit.
type watchdog struct {
	timer  clockwork.Timer
	cancel context.CancelCauseFunc
}

var errStalled = errors.New("target fell silent")

func newWatchdog(parent context.Context, clock clockwork.Clock, limit time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	return ctx, &watchdog{timer: clock.AfterFunc(limit, func() { cancel(errStalled) }), cancel: cancel}
}

func (watchdog *watchdog) progress(limit time.Duration) { watchdog.timer.Reset(limit) }

func (watchdog *watchdog) stop() {
	watchdog.timer.Stop()
	watchdog.cancel(nil)
}

// classifyFailure determines the kind of a failed exchange. Connected reports
// whether the target may have received the request.
func classifyFailure(parent, ctx context.Context, err error, connected bool) *failure {
	text := err.Error()
	switch {
	case !connected:
		return &failure{kind: target.FailureRefused, run: refusal.NotRun, message: text}
	case errors.Is(context.Cause(ctx), errStalled):
		return &failure{kind: target.FailureTimeout, run: refusal.RunUnknown, message: "target sent nothing in time"}
	case errors.Is(parent.Err(), context.DeadlineExceeded):
		return &failure{kind: target.FailureTimeout, run: refusal.RunUnknown, message: "call reached its deadline"}
	case parent.Err() != nil:
		return &failure{kind: target.FailureCancel, run: refusal.RunUnknown, message: "call was cancelled"}
	default:
		return &failure{kind: target.FailureCrash, run: refusal.RunUnknown, message: text}
	}
}

// newRequest returns a request that the transport can't resend, and a flag that
// is set once the request has a connection.
func newRequest(ctx context.Context, method, endpoint string, body []byte) (*http.Request, *bool, error) {
	connected := new(bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
	request, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
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
	request, connected, err := newRequest(ctx, http.MethodPost, "http://"+address+"/", []byte(dispatch.Input))
	if err != nil {
		return exchange{failure: &failure{kind: target.FailureRefused, run: refusal.NotRun, message: err.Error()}}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(CallHeader, dispatch.Program+"/"+dispatch.Call)
	httpClient := client.pooled
	if !dispatch.Repeatable {
		httpClient = client.fresh
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return exchange{failure: classifyFailure(parent, ctx, err, *connected)}
	}
	defer response.Body.Close()
	elapsed := client.clock.Since(started)
	watchdog.progress(limits.token)
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return exchange{failure: classifyFailure(parent, ctx, err, true)}
	}
	if len(body) > maxResponseBytes {
		return exchange{failure: &failure{kind: target.FailureError, run: refusal.Ran, message: "answer is too large"}}
	}
	result := exchange{output: string(body), status: response.StatusCode, firstByte: elapsed}
	if dispatch.Repeatable && response.StatusCode >= http.StatusBadGateway && response.StatusCode <= http.StatusGatewayTimeout {
		result.failure = &failure{kind: target.FailureError, run: refusal.RunUnknown, message: "target answered " + response.Status}
	}
	return result
}

// generateRequest is the body of a generation request to an engine.
type generateRequest struct {
	Stream    string `json:"stream"`
	Program   string `json:"program"`
	Prompt    string `json:"prompt"`
	Prefix    string `json:"prefix"`
	MaxTokens int64  `json:"max_tokens"`
}

// generate runs a call on an engine and emits its text. The body's Prefix is the
// output that earlier tries produced.
func (client *Client) generate(parent context.Context, address string, body generateRequest, limits timeouts, emit func(string)) exchange {
	data, err := json.Marshal(body)
	if err != nil {
		return exchange{failure: &failure{kind: target.FailureError, run: refusal.NotRun, message: err.Error()}}
	}
	return client.stream(parent, http.MethodPost, "http://"+address+"/generate", data, limits, emit)
}

// resume continues an interrupted stream from an offset in its text.
func (client *Client) resume(parent context.Context, address, stream string, offset int, limits timeouts, emit func(string)) exchange {
	endpoint := fmt.Sprintf("http://%s/streams/%s?offset=%d", address, url.PathEscape(stream), offset)
	return client.stream(parent, http.MethodGet, endpoint, nil, limits, emit)
}

func (client *Client) stream(parent context.Context, method, endpoint string, data []byte, limits timeouts, emit func(string)) exchange {
	ctx, watchdog := newWatchdog(parent, client.clock, limits.firstByte)
	defer watchdog.stop()
	started := client.clock.Now()
	request, connected, err := newRequest(ctx, method, endpoint, data)
	if err != nil {
		return exchange{failure: &failure{kind: target.FailureRefused, run: refusal.NotRun, message: err.Error()}}
	}
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set("Content-Type", "application/json")
	response, err := client.pooled.Do(request)
	if err != nil {
		return exchange{failure: classifyFailure(parent, ctx, err, *connected)}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return exchange{failure: &failure{kind: target.FailureError, run: refusal.RunUnknown, message: "target answered " + response.Status}}
	}
	result := exchange{status: response.StatusCode, clock: client.clock, started: started}
	ended, err := readEvents(response.Body, func(event string, data []byte) (bool, error) {
		watchdog.progress(limits.token)
		return result.handleEvent(event, data, emit)
	})
	if err != nil || !ended {
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		result.failure = classifyFailure(parent, ctx, err, true)
	}
	return result
}

// handleEvent processes one event of a stream and reports whether it was the
// last.
func (exchange *exchange) handleEvent(event string, data []byte, emit func(string)) (bool, error) {
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
		emit(token.Text)
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

// maxEventBytes is the largest size of one event of a stream.
const maxEventBytes = 1 << 20

// readEvents parses server-sent events until the handler reports the last one.
func readEvents(reader io.Reader, handle func(event string, data []byte) (bool, error)) (bool, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	event, data := "", ""
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "":
			ended, err := handle(event, []byte(data))
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

// send sends a request whose response body is discarded, such as the release of
// a prefix.
func (client *Client) send(ctx context.Context, method, endpoint string) error {
	request, _, err := newRequest(ctx, method, endpoint, nil)
	if err != nil {
		return err
	}
	response, err := client.pooled.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxEventBytes)); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusNotFound {
		return fmt.Errorf("target answered %s", response.Status)
	}
	return nil
}
