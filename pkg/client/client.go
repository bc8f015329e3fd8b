// Package client calls godwitspread from Go programs.
//
// A Client knows the addresses of several entry hosts and tries the next one
// when a host cannot be reached. Calls carry an identifier, so that a call
// that is sent again is answered from the program's history and does not run
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

// Run tells what is known about the execution of a refused call.
type Run string

// Values of Run.
const (
	NotRun  Run = "not_run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Error is a refusal by the system.
type Error struct {
	// Code is the stable reason, such as "rate_exceeded".
	Code    string `json:"code"`
	Message string `json:"message"`
	// Run tells whether the call ran.
	Run Run `json:"run"`
	// RetryAfterMillis is when to try again, zero if that makes no sense.
	RetryAfterMillis int64 `json:"retry_after_ms"`
	// Status is the HTTP status.
	Status int `json:"-"`
}

// Error implements error.
func (refused *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", refused.Code, refused.Message, refused.Run)
}

// Client calls the system with one key.
type Client struct {
	hosts []string
	key   string
	http  *http.Client
	next  atomic.Uint64
}

// connectTries is how many hosts are tried for one request.
const connectTries = 6

// New returns a client for entry hosts, such as "http://127.0.0.1:8080".
func New(key string, hosts ...string) *Client {
	return &Client{hosts: hosts, key: key, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second,
	}}}
}

// OpenOptions narrows the limits of a program.
type OpenOptions struct {
	// Parent makes the program a sub-agent that shares its parent's budget.
	Parent string `json:"parent,omitempty"`
	// Budget is the most tokens that the program may use.
	Budget int64         `json:"budget,omitempty"`
	Turns  int           `json:"-"`
	Time   time.Duration `json:"-"`
	Idle   time.Duration `json:"-"`
}

// Call is one call of a program.
type Call struct {
	// ID names the call within its program. A call that is sent again keeps it.
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Turn    int           `json:"turn,omitempty"`
	Input   string        `json:"input"`
	Tokens  int64         `json:"max_tokens,omitempty"`
	Timeout time.Duration `json:"-"`
	// Each, if set, gets the text of the answer as it comes.
	Each func(text string) `json:"-"`
}

// Answer is the result of a call.
type Answer struct {
	Call     string `json:"call"`
	Turn     int    `json:"turn"`
	Output   string `json:"output"`
	Status   int    `json:"status"`
	Tokens   int64  `json:"tokens"`
	Result   string `json:"result"`
	Replayed bool   `json:"replayed"`
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
	Forfeited int64  `json:"forfeited"`
	Running   bool   `json:"running"`
	Ended     string `json:"ended"`
}

// Open starts a program and returns its identifier.
func (client *Client) Open(ctx context.Context, options OpenOptions) (string, error) {
	body := map[string]any{"parent": options.Parent, "budget": options.Budget, "limits": map[string]any{
		"turns": options.Turns, "time_ms": options.Time.Milliseconds(), "idle_ms": options.Idle.Milliseconds(),
	}}
	var opened struct {
		Program string `json:"program"`
	}
	err := client.exchange(ctx, http.MethodPost, "/v1/programs", body, &opened)
	return opened.Program, err
}

// Do runs a call. If the host is lost on the way, the call is sent again to
// the next one.
func (client *Client) Do(ctx context.Context, program string, call Call) (Answer, error) {
	body := struct {
		Call
		TimeoutMillis int64 `json:"timeout_ms,omitempty"`
		Stream        bool  `json:"stream,omitempty"`
	}{Call: call, TimeoutMillis: call.Timeout.Milliseconds(), Stream: call.Each != nil}
	path := "/v1/programs/" + url.PathEscape(program) + "/calls"
	if call.Each == nil {
		var answer Answer
		err := client.exchange(ctx, http.MethodPost, path, body, &answer)
		return answer, err
	}
	seen := 0
	var answer Answer
	err := client.try(ctx, func(host string) error {
		position := 0
		var err error
		answer, err = client.stream(ctx, host+path, body, func(text string) {
			// A call that was sent again starts at the beginning of its text.
			position += len(text)
			if fresh := position - seen; fresh > 0 {
				call.Each(text[len(text)-min(fresh, len(text)):])
				seen = position
			}
		})
		return err
	})
	return answer, err
}

// Program returns the state of a program.
func (client *Client) Program(ctx context.Context, program string) (Program, error) {
	var found Program
	err := client.exchange(ctx, http.MethodGet, "/v1/programs/"+url.PathEscape(program), nil, &found)
	return found, err
}

// History returns the turns of a program.
func (client *Client) History(ctx context.Context, program string) ([]Turn, error) {
	var found struct {
		Turns []Turn `json:"turns"`
	}
	err := client.exchange(ctx, http.MethodGet, "/v1/programs/"+url.PathEscape(program)+"/history", nil, &found)
	return found.Turns, err
}

// End closes a program.
func (client *Client) End(ctx context.Context, program string) error {
	return client.exchange(ctx, http.MethodDelete, "/v1/programs/"+url.PathEscape(program), nil, &struct{}{})
}

// Service calls a plain service outside a program. The id names the call if it
// may have to be sent again; it may be empty.
func (client *Client) Service(ctx context.Context, service, id string, input []byte) (Answer, error) {
	var answer Answer
	err := client.try(ctx, func(host string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/v1/services/"+url.PathEscape(service), bytes.NewReader(input))
		if err != nil {
			return err
		}
		// The system decides on repetitions, not this library's transport.
		request.GetBody = nil
		if id != "" {
			request.Header.Set("Idempotency-Key", id)
		}
		return client.whole(request, &answer)
	})
	return answer, err
}

// exchange sends a JSON document and reads one back.
func (client *Client) exchange(ctx context.Context, method, path string, body, answer any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	return client.try(ctx, func(host string) error {
		request, err := http.NewRequestWithContext(ctx, method, host+path, bytes.NewReader(data))
		if err != nil {
			return err
		}
		return client.whole(request, answer)
	})
}

// try runs a request on one host after the other until one answers.
func (client *Client) try(ctx context.Context, request func(host string) error) error {
	if len(client.hosts) == 0 {
		return errors.New("client has no hosts")
	}
	var last error
	for try := range connectTries {
		host := client.hosts[client.next.Add(1)%uint64(len(client.hosts))]
		last = request(host)
		var refused *Error
		if last == nil || errors.As(last, &refused) || ctx.Err() != nil {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(time.Duration(try+1) * 50 * time.Millisecond):
		}
	}
	return last
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
	return nil, refusedBy(response)
}

func refusedBy(response *http.Response) error {
	var body struct {
		Error Error `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return fmt.Errorf("host answered %s without a reason: %w", response.Status, err)
	}
	body.Error.Status = response.StatusCode
	return &body.Error
}

func (client *Client) whole(request *http.Request, answer any) error {
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

// stream sends a call and follows its events.
func (client *Client) stream(ctx context.Context, address string, body any, each func(string)) (Answer, error) {
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
	return readStream(response.Body, each)
}

// maxEvent bounds one event, in bytes.
const maxEvent = 16 << 20

// readStream reads events up to the one that ends the answer.
func readStream(reader io.Reader, each func(string)) (Answer, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 4096), maxEvent)
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
		answer, ended, err := takeEvent(event, []byte(data), each)
		if ended || err != nil {
			return answer, err
		}
	}
	if err := scanner.Err(); err != nil {
		return Answer{}, err
	}
	return Answer{}, io.ErrUnexpectedEOF
}

func takeEvent(event string, data []byte, each func(string)) (Answer, bool, error) {
	switch event {
	case "delta":
		var delta struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal(data, &delta); err != nil {
			return Answer{}, false, fmt.Errorf("decode delta: %w", err)
		}
		each(delta.Text)
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
