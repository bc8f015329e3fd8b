// Package client calls godwitspread from Go programs.
//
// A Client has the addresses of several entry hosts and tries the next one if a
// host does not respond. Each call has an identifier. A call that is retried with
// the same identifier is answered from the program's history and does not run
// twice.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// Run states what is known about the execution of a refused call.
type Run string

// Values of Run.
const (
	NotRun  Run = "not_run" // the call did not run
	Ran     Run = "ran"     // the call ran
	Unknown Run = "unknown" // the call may have run
)

// Error is the error with which a host refuses a request.
type Error struct {
	// Code is the stable identifier of the reason, such as "rate_exceeded".
	Code    string `json:"code"`
	Message string `json:"message"`
	// Run states whether the call ran.
	Run Run `json:"run"`
	// RetryAfterMillis is the delay before a retry in milliseconds, or zero if the
	// refusal has none.
	RetryAfterMillis int64 `json:"retry_after_ms"`
	// Status is the HTTP status code. It is zero if the refusal arrived as an event of
	// a streamed response.
	Status int `json:"-"`
}

// Error returns the code, the message and the state of execution.
func (refused *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", refused.Code, refused.Message, refused.Run)
}

// Client sends requests with one key. It is safe for concurrent use.
type Client struct {
	hosts []string
	key   string
	http  *http.Client
	next  atomic.Uint64
}

// maxAttempts is the maximum number of attempts for one request, each on the next host.
const maxAttempts = 6

// New returns a client for entry hosts with URLs such as "http://127.0.0.1:8080".
func New(key string, hosts ...string) *Client {
	return &Client{hosts: hosts, key: key, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
	}}}
}

// OpenOptions lowers the limits of a program below those of its workspace. Zero keeps
// the limit of the workspace.
type OpenOptions struct {
	// Parent makes the program a sub-agent that shares its parent's budget.
	Parent string `json:"parent,omitempty"`
	// Budget is the maximum number of tokens that the program may use.
	Budget int64         `json:"budget,omitempty"`
	Turns  int           `json:"-"` // maximum number of turns
	Time   time.Duration `json:"-"` // maximum duration of the program
	Idle   time.Duration `json:"-"` // maximum time without a call
}

// Call is one call of a program.
type Call struct {
	// ID identifies the call within its program. A retry of the call has the same ID.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Turn is the number that the turn is expected to have. The host refuses the call
	// if the program is at another turn. Zero disables the check.
	Turn  int    `json:"turn,omitempty"`
	Input string `json:"input"`
	// Tokens is the maximum number of tokens that the call may generate.
	Tokens  int64         `json:"max_tokens,omitempty"`
	Timeout time.Duration `json:"-"`
	// Each, if set, enables streaming and is called with each part of the answer's
	// text as it arrives.
	Each func(text string) `json:"-"`
}

// Answer is the answer to a call.
type Answer struct {
	Call     string `json:"call"`
	Turn     int    `json:"turn"`
	Output   string `json:"output"`
	Status   int    `json:"status"` // HTTP status code of the target
	Tokens   int64  `json:"tokens"`
	Result   string `json:"result"`   // "ran", or "unknown" if the call may have run
	Replayed bool   `json:"replayed"` // the answer is from the history; the call did not run again
}

// Turn is one turn of a program's history.
type Turn struct {
	Turn    int    `json:"turn"`
	Call    string `json:"call"`
	Service string `json:"service"`
	Input   string `json:"input"`
	Output  string `json:"output"`
	Status  int    `json:"status"`
	Result  string `json:"result"`
	Tokens  int    `json:"tokens"`
}

// Program is the state of a program.
type Program struct {
	Program   string `json:"program"`
	Parent    string `json:"parent"`
	Turns     int    `json:"turns"`
	Budget    int64  `json:"budget"`
	Spent     int64  `json:"spent"`
	Forfeited int64  `json:"forfeited"` // tokens that failed hosts may have spent
	Running   bool   `json:"running"`
	Ended     string `json:"ended"` // reason for the end; empty while the program is open
}

// Open starts a program and returns its identifier.
func (client *Client) Open(ctx context.Context, options OpenOptions) (string, error) {
	body := map[string]any{"parent": options.Parent, "budget": options.Budget, "limits": map[string]any{
		"turns": options.Turns, "time_ms": options.Time.Milliseconds(), "idle_ms": options.Idle.Milliseconds(),
	}}
	var opened struct {
		Program string `json:"program"`
	}
	err := client.callJSON(ctx, http.MethodPost, "/v1/programs", body, &opened)
	return opened.Program, err
}

// Do runs a call. If a host fails before the answer is complete, Do retries the call
// on the next host.
func (client *Client) Do(ctx context.Context, program string, call Call) (Answer, error) {
	body := struct {
		Call
		TimeoutMillis int64 `json:"timeout_ms,omitempty"`
		Stream        bool  `json:"stream,omitempty"`
	}{Call: call, TimeoutMillis: call.Timeout.Milliseconds(), Stream: call.Each != nil}
	path := "/v1/programs/" + url.PathEscape(program) + "/calls"
	if call.Each == nil {
		var answer Answer
		err := client.callJSON(ctx, http.MethodPost, path, body, &answer)
		return answer, err
	}
	delivered := 0
	var answer Answer
	err := client.tryHosts(ctx, func(host string) error {
		position := 0
		var err error
		answer, err = client.stream(ctx, host+path, body, func(text string) {
			// A retried call sends its text from the beginning, so the part that was
			// delivered before is skipped.
			position += len(text)
			if newBytes := position - delivered; newBytes > 0 {
				call.Each(text[len(text)-min(newBytes, len(text)):])
				delivered = position
			}
		})
		return err
	})
	return answer, err
}

// Program returns the state of a program.
func (client *Client) Program(ctx context.Context, program string) (Program, error) {
	var found Program
	err := client.callJSON(ctx, http.MethodGet, "/v1/programs/"+url.PathEscape(program), nil, &found)
	return found, err
}

// History returns the turns of a program.
func (client *Client) History(ctx context.Context, program string) ([]Turn, error) {
	var found struct {
		Turns []Turn `json:"turns"`
	}
	err := client.callJSON(ctx, http.MethodGet, "/v1/programs/"+url.PathEscape(program)+"/history", nil, &found)
	return found.Turns, err
}

// End ends a program.
func (client *Client) End(ctx context.Context, program string) error {
	return client.callJSON(ctx, http.MethodDelete, "/v1/programs/"+url.PathEscape(program), nil, &struct{}{})
}

// Service calls a plain service outside a program. The id is an idempotency key, with
// which a non-idempotent call runs only once even if it is retried. It may be empty.
func (client *Client) Service(ctx context.Context, service, id string, input []byte) (Answer, error) {
	var answer Answer
	err := client.tryHosts(ctx, func(host string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/v1/services/"+url.PathEscape(service), bytes.NewReader(input))
		if err != nil {
			return err
		}
		// Without GetBody, net/http does not send the body again by itself. The hosts
		// decide whether a call may run again.
		request.GetBody = nil
		if id != "" {
			request.Header.Set("Idempotency-Key", id)
		}
		return client.receiveJSON(request, &answer)
	})
	return answer, err
}

// callJSON sends a request with a JSON body and decodes the JSON response.
func (client *Client) callJSON(ctx context.Context, method, path string, body, answer any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	return client.tryHosts(ctx, func(host string) error {
		request, err := http.NewRequestWithContext(ctx, method, host+path, bytes.NewReader(data))
		if err != nil {
			return err
		}
		return client.receiveJSON(request, answer)
	})
}

// tryHosts sends a request to one host after another, with increasing delays, until a
// host responds or the attempts are exhausted.
func (client *Client) tryHosts(ctx context.Context, send func(host string) error) error {
	if len(client.hosts) == 0 {
		return errors.New("client has no hosts")
	}
	var lastError error
	for attempt := range maxAttempts {
		host := client.hosts[client.next.Add(1)%uint64(len(client.hosts))]
		lastError = send(host)
		var refused *Error
		if lastError == nil || errors.As(lastError, &refused) || ctx.Err() != nil {
			return lastError
		}
		select {
		case <-ctx.Done():
			return lastError
		case <-time.After(time.Duration(attempt+1) * 50 * time.Millisecond):
		}
	}
	return lastError
}

func (client *Client) send(request *http.Request) (*http.Response, error) {
	request.Header.Set("Authorization", "Bearer "+client.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer response.Body.Close()
	return nil, responseError(response)
}

func responseError(response *http.Response) error {
	var body struct {
		Error Error `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return fmt.Errorf("host answered %s without a reason: %w", response.Status, err)
	}
	body.Error.Status = response.StatusCode
	return &body.Error
}

func (client *Client) receiveJSON(request *http.Request, answer any) error {
	response, err := client.send(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// stream sends a call and reads the response as server-sent events.
func (client *Client) stream(ctx context.Context, address string, body any, onText func(string)) (Answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return Answer{}, fmt.Errorf("encode call: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(data))
	if err != nil {
		return Answer{}, err
	}
	response, err := client.send(request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return readStream(response.Body, onText)
}

const maxEventBytes = 16 << 20

// readStream reads events up to the final one, which is the answer or an error.
func readStream(reader io.Reader, onText func(string)) (Answer, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		answer, done, err := handleEvent(event, []byte(data), onText)
		if done || err != nil {
			return answer, err
		}
	}
	if err := scanner.Err(); err != nil {
		return Answer{}, err
	}
	return Answer{}, io.ErrUnexpectedEOF
}

// handleEvent handles one event and reports whether it is the final one.
func handleEvent(event string, data []byte, onText func(string)) (Answer, bool, error) {
	switch event {
	case "delta":
		var delta struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal(data, &delta); err != nil {
			return Answer{}, false, fmt.Errorf("decode delta: %w", err)
		}
		onText(delta.Text)
	case "done":
		var answer Answer
		if err := json.Unmarshal(data, &answer); err != nil {
			return Answer{}, false, fmt.Errorf("decode answer: %w", err)
		}
		return answer, true, nil
	case "error":
		var body struct {
			Error Error `json:"error"`
		}
		if err := json.Unmarshal(data, &body); err != nil {
			return Answer{}, false, fmt.Errorf("decode error: %w", err)
		}
		return Answer{}, true, &body.Error
	}
	return Answer{}, false, nil
}
