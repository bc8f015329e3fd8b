package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/target"
)

// Queues gives access to the queues of all services, on this host or on others.
type Queues interface {
	// Acquire waits for a permit. It returns the permit and a function that
	// settles it.
	Acquire(ctx context.Context, request PermitRequest) (Permit, func(target.Report), error)
	// Release removes the state of a program and returns the addresses of the
	// targets that have cached its prefix.
	Release(ctx context.Context, program string) []string
	// Down reports whether a service is known to have no usable target.
	Down(service string) bool
}

// Dispatcher runs the calls that the owner of a program has started.
type Dispatcher struct {
	clock   clockwork.Clock
	metrics *metric.Metrics
	queues  Queues
	client  *Client
	retries *rate.Limiter

	mutex  sync.Mutex
	text   *configuration.Text
	random *rand.Rand
}

const (
	maxTries            = 4
	retryRate           = 10 // retries a second on this host
	retryBurst          = 40
	backoffBase         = 50 * time.Millisecond
	backoffLimit        = 2 * time.Second
	releaseTries        = 5
	streamCancelTimeout = 2 * time.Second
	defaultOutputTokens = 256 // expected output of a call without history
)

// NewDispatcher returns a dispatcher. The seed determines the jitter of retries.
func NewDispatcher(clock clockwork.Clock, metrics *metric.Metrics, queues Queues, seed uint64) *Dispatcher {
	return &Dispatcher{
		clock: clock, metrics: metrics, queues: queues, client: NewClient(clock), text: &configuration.Text{},
		retries: rate.NewLimiter(retryRate, retryBurst), random: rand.New(rand.NewPCG(seed, 2)),
	}
}

// SetText applies a new configuration.
func (dispatcher *Dispatcher) SetText(text *configuration.Text) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.text = text
}

func (dispatcher *Dispatcher) service(name string) (configuration.Service, bool) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.text.Service(name)
}

// jitter returns a random duration from half the delay to the whole delay.
func (dispatcher *Dispatcher) jitter(delay time.Duration) time.Duration {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return delay/2 + time.Duration(dispatcher.random.Int64N(int64(delay/2)+1))
}

// callState is the progress of one call across its tries.
type callState struct {
	dispatch program.Dispatch
	service  configuration.Service
	prompt   string
	output   string // output received so far
	avoid    string // address of the target on which the last try failed
	tokens   int    // output tokens received so far
}

// Run runs a call and retries it if that is safe. Emit is called with each piece
// of output as it arrives.
func (dispatcher *Dispatcher) Run(ctx context.Context, dispatch program.Dispatch, emit func(string)) program.DispatchResult {
	dispatchResult := program.DispatchResult{Program: dispatch.Program, Call: dispatch.Call, Attempt: dispatch.Attempt}
	service, ok := dispatcher.service(dispatch.Service)
	if !ok {
		dispatchResult.Refusal = refusal.New(refusal.UnknownService, "service %q does not exist", dispatch.Service)
		return dispatchResult
	}
	if missing := dispatcher.missingDependency(service, nil); missing != "" {
		dispatchResult.Refusal = refusal.New(refusal.DependencyUnavailable,
			"service %q depends on %q, which has no usable target", dispatch.Service, missing).WithRetryAfter(time.Second)
		return dispatchResult
	}
	ctx, cancel := context.WithTimeout(ctx, dispatch.Deadline.Sub(dispatcher.clock.Now()))
	defer cancel()
	call := &callState{dispatch: dispatch, service: service, output: dispatch.Partial}
	if dispatch.Kind == program.KindEngine {
		call.prompt = Prompt(dispatch.History, dispatch.Input)
	}
	for try := 1; ; try++ {
		result := dispatcher.try(ctx, call, try, emit)
		dispatchResult.Output, dispatchResult.Status, dispatchResult.Tokens = call.output, result.status, int64(call.tokens)
		if result.failure == nil {
			dispatchResult.Refusal = nil // clear the refusal of a failed earlier try
			return dispatchResult
		}
		dispatchResult.Refusal = refusalOf(result.failure)
		if !dispatcher.awaitRetry(ctx, call, try, result.failure) {
			return dispatchResult
		}
	}
}

// missingDependency returns the name of a direct or transitive dependency that
// is down, or "" if there is none.
func (dispatcher *Dispatcher) missingDependency(service configuration.Service, seen []string) string {
	for _, name := range service.DependsOn {
		if slices.Contains(seen, name) {
			continue
		}
		seen = append(seen, name)
		if dispatcher.queues.Down(name) {
			return name
		}
		next, _ := dispatcher.service(name)
		if missing := dispatcher.missingDependency(next, seen); missing != "" {
			return missing
		}
	}
	return ""
}

// refusalOf converts the last failure of a call to a refusal for its caller.
func refusalOf(failure *failure) *refusal.Refusal {
	if failure.refusal != nil {
		return failure.refusal
	}
	refused := refusal.New(refusal.TargetFailed, "%s", failure.message)
	switch failure.kind {
	case target.FailureTimeout:
		refused = refusal.New(refusal.DeadlineExceeded, "%s", failure.message)
	case target.FailureCancel:
		refused = refusal.New(refusal.Cancelled, "%s", failure.message)
	}
	return refused.WithRun(failure.run).WithRetryAfter(time.Second)
}

// awaitRetry reports whether a failed call should be retried, after waiting for
// the backoff delay. A call that isn't repeatable is retried only if the target
// received no part of it.
func (dispatcher *Dispatcher) awaitRetry(ctx context.Context, call *callState, try int, failure *failure) bool {
	switch {
	case failure.kind == target.FailureCancel, failure.kind == target.FailureNone, ctx.Err() != nil, try >= maxTries:
		return false
	case !call.dispatch.Repeatable && failure.run != refusal.NotRun:
		return false
	case !dispatcher.retries.Allow():
		dispatcher.metrics.Count("retry_budget_spent")
		return false
	}
	dispatcher.metrics.CountRetry(string(failure.kind))
	delay := dispatcher.jitter(min(backoffLimit, backoffBase<<try))
	select {
	case <-ctx.Done():
		return false
	case <-dispatcher.clock.After(delay):
		return true
	}
}

// try obtains a permit, runs one exchange with the target and settles the
// permit.
func (dispatcher *Dispatcher) try(ctx context.Context, call *callState, number int, emit func(string)) exchange {
	requestedAt := dispatcher.clock.Now()
	permit, settle, err := dispatcher.queues.Acquire(ctx, dispatcher.permitRequest(call))
	if err != nil {
		return exchange{failure: permitFailure(ctx, err)}
	}
	if permit.Refusal != nil {
		return exchange{failure: &failure{kind: target.FailureNone, run: permit.Refusal.Run, refusal: permit.Refusal}}
	}
	dispatcher.metrics.ObserveLatency("permit_wait", dispatcher.clock.Now().Sub(requestedAt))
	limits := timeouts{firstByte: call.service.FirstByteTimeout, token: call.service.TokenTimeout}
	var result exchange
	started := dispatcher.clock.Now()
	if call.dispatch.Kind == program.KindPlain {
		limits.firstByte = call.service.Timeout
		result = dispatcher.client.plain(ctx, permit.Target, call.dispatch, limits)
		if result.failure == nil {
			call.output = result.output
		}
	} else {
		result = dispatcher.generate(ctx, call, permit, number, limits, emit)
	}
	report := result.report
	report.Request = permit.ID
	report.Duration = dispatcher.clock.Now().Sub(started)
	if result.failure != nil {
		report.Failure = result.failure.kind
		call.avoid = permit.Target
	}
	settle(report)
	dispatcher.metrics.ObserveLatency("target_first_byte", result.firstByte)
	return result
}

func permitFailure(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		kind := target.FailureCancel
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			kind = target.FailureTimeout
		}
		return &failure{kind: kind, run: refusal.NotRun, message: "no target was free in time"}
	}
	return &failure{kind: target.FailureRefused, run: refusal.NotRun, message: err.Error()}
}

func (dispatcher *Dispatcher) permitRequest(call *callState) PermitRequest {
	output := defaultOutputTokens
	if count := len(call.dispatch.History); count > 0 {
		output = int(call.dispatch.GeneratedTokens)/count + 1
	}
	if call.dispatch.Kind == program.KindPlain {
		output = 1
	}
	sum := sha256.Sum256([]byte(call.dispatch.Input))
	return PermitRequest{
		Service: call.dispatch.Service, Program: call.dispatch.Program, Workspace: call.dispatch.Workspace,
		Prompt: (len(call.prompt) + len(call.output)) / bytesPerToken, Output: output, Attained: call.dispatch.GeneratedTokens,
		TimeoutMillis: max(1, call.dispatch.Deadline.Sub(dispatcher.clock.Now()).Milliseconds()),
		Digest:        hex.EncodeToString(sum[:8]), Avoid: call.avoid,
	}
}

// bytesPerToken is the estimated ratio of bytes to tokens in prompts.
const bytesPerToken = 4

// generate runs one try on an engine. An interrupted stream is first resumed on
// the same engine, from the end of the output received so far.
func (dispatcher *Dispatcher) generate(ctx context.Context, call *callState, permit Permit, number int, limits timeouts, emit func(string)) exchange {
	collect := func(text string) {
		call.output += text
		call.tokens++
		emit(text)
	}
	before := len(call.output)
	stream := fmt.Sprintf("%s.%d", call.dispatch.Attempt, number)
	result := dispatcher.client.generate(ctx, permit.Target, generateRequest{
		Stream: stream, Program: call.dispatch.Program, Prompt: call.prompt, Prefix: call.output,
		MaxTokens: call.dispatch.MaxTokens,
	}, limits, collect)
	if result.failure != nil && len(call.output) > before && ctx.Err() == nil {
		dispatcher.metrics.CountRetry("resume")
		result = dispatcher.client.resume(ctx, permit.Target, stream, len(call.output)-before, limits, collect)
	}
	if result.failure != nil {
		go dispatcher.cancelStream(permit.Target, stream)
	}
	if result.failure == nil && result.report.Output > 0 {
		call.tokens = max(call.tokens, result.report.Output)
	}
	return result
}

// cancelStream stops an engine's work on an abandoned stream.
func (dispatcher *Dispatcher) cancelStream(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), streamCancelTimeout)
	defer cancel()
	endpoint := fmt.Sprintf("http://%s/streams/%s", address, url.PathEscape(stream))
	if err := dispatcher.client.send(ctx, http.MethodDelete, endpoint); err != nil {
		dispatcher.metrics.Count("stream_cancel_failed")
	}
}

// Release frees the cached prefixes of a program on all targets. It retries
// failed requests, because they are idempotent.
func (dispatcher *Dispatcher) Release(ctx context.Context, id string) {
	for _, address := range dispatcher.queues.Release(ctx, id) {
		endpoint := fmt.Sprintf("http://%s/prefixes/%s", address, url.PathEscape(id))
		for try := range releaseTries {
			err := dispatcher.client.send(ctx, http.MethodDelete, endpoint)
			if err == nil || ctx.Err() != nil {
				break
			}
			dispatcher.metrics.CountRetry("release")
			dispatcher.clock.Sleep(dispatcher.jitter(backoffBase << try))
		}
	}
}

// Prompt returns the text that an engine completes for a call.
func Prompt(history []ledger.Entry, input string) string {
	var prompt strings.Builder
	for _, entry := range history {
		prompt.WriteString(entry.Input)
		prompt.WriteString("\n")
		prompt.WriteString(entry.Output)
		prompt.WriteString("\n")
	}
	prompt.WriteString(input)
	prompt.WriteString("\n")
	return prompt.String()
}
