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

// Queues reaches the holder of a service's queue, on this host or another.
type Queues interface {
	// Acquire waits for a permit. It returns a function that settles it.
	Acquire(ctx context.Context, request PermitRequest) (Permit, func(target.Report), error)
	// Release forgets a program and returns the targets that hold its prefix.
	Release(ctx context.Context, program string) []string
	// Down reports whether a service is known to have no usable target.
	Down(service string) bool
}

// Dispatcher runs the calls that the owner of a program has decided on.
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
	maxTries      = 4
	retryRate     = 10 // retries a second that a host may add
	retryBurst    = 40
	backoffBase   = 50 * time.Millisecond
	backoffLimit  = 2 * time.Second
	releaseTries  = 5
	releaseWait   = 2 * time.Second
	outputDefault = 256 // expected tokens of an answer without history
)

// NewDispatcher returns a dispatcher. The seed is for the jitter of retries.
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

// jitter returns a random part of a delay, from half of it to all.
func (dispatcher *Dispatcher) jitter(delay time.Duration) time.Duration {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return delay/2 + time.Duration(dispatcher.random.Int64N(int64(delay/2)+1))
}

// run is the progress of one call over its tries.
type run struct {
	dispatch program.Dispatch
	service  configuration.Service
	prompt   string
	text     string // the answer so far
	avoid    string
	tokens   int
}

// Run does a call and retries it as far as that is allowed. Each hands the
// answer's text on as it comes.
func (dispatcher *Dispatcher) Run(ctx context.Context, dispatch program.Dispatch, each func(string)) program.Answered {
	answered := program.Answered{Program: dispatch.Program, Call: dispatch.Call, Attempt: dispatch.Attempt}
	service, ok := dispatcher.service(dispatch.Service)
	if !ok {
		answered.Refusal = refusal.New(refusal.UnknownService, "service %q does not exist", dispatch.Service)
		return answered
	}
	if missing := dispatcher.missing(service, nil); missing != "" {
		answered.Refusal = refusal.New(refusal.DependencyUnavailable,
			"service %q depends on %q, which has no usable target", dispatch.Service, missing).WithRetryAfter(time.Second)
		return answered
	}
	ctx, cancel := context.WithTimeout(ctx, dispatch.Deadline.Sub(dispatcher.clock.Now()))
	defer cancel()
	run := &run{dispatch: dispatch, service: service, text: dispatch.Partial}
	if dispatch.Kind == program.KindEngine {
		run.prompt = Prompt(dispatch.History, dispatch.Input)
	}
	for try := 1; ; try++ {
		result := dispatcher.try(ctx, run, try, each)
		answered.Output, answered.Status, answered.Tokens = run.text, result.status, int64(run.tokens)
		if result.failure == nil {
			answered.Refusal = nil // of an earlier try
			return answered
		}
		answered.Refusal = refusalOf(result.failure)
		if !dispatcher.again(ctx, run, try, result.failure) {
			return answered
		}
	}
}

// missing returns a service that this one depends on, also through others, and
// that is down; empty if there is none.
func (dispatcher *Dispatcher) missing(service configuration.Service, seen []string) string {
	for _, name := range service.DependsOn {
		if slices.Contains(seen, name) {
			continue
		}
		seen = append(seen, name)
		if dispatcher.queues.Down(name) {
			return name
		}
		next, _ := dispatcher.service(name)
		if missing := dispatcher.missing(next, seen); missing != "" {
			return missing
		}
	}
	return ""
}

// refusalOf turns the last failure of a call into what its caller gets.
func refusalOf(failure *failure) *refusal.Refusal {
	if failure.refusal != nil {
		return failure.refusal
	}
	refused := refusal.New(refusal.TargetFailed, "%s", failure.text)
	switch failure.kind {
	case target.FailureTimeout:
		refused = refusal.New(refusal.DeadlineExceeded, "%s", failure.text)
	case target.FailureCancel:
		refused = refusal.New(refusal.Cancelled, "%s", failure.text)
	}
	return refused.WithRun(failure.run).WithRetryAfter(time.Second)
}

// again decides on a retry and waits for its time. A call that may not be
// repeated is tried again only if the target took no part of it.
func (dispatcher *Dispatcher) again(ctx context.Context, run *run, try int, failure *failure) bool {
	switch {
	case failure.kind == target.FailureCancel, failure.kind == target.FailureNone, ctx.Err() != nil, try >= maxTries:
		return false
	case !run.dispatch.Repeatable && failure.run != refusal.NotRun:
		return false
	case !dispatcher.retries.Allow():
		dispatcher.metrics.Count("retry_budget_spent")
		return false
	}
	dispatcher.metrics.Retried(string(failure.kind))
	delay := dispatcher.jitter(min(backoffLimit, backoffBase<<try))
	select {
	case <-ctx.Done():
		return false
	case <-dispatcher.clock.After(delay):
		return true
	}
}

// try obtains a permit and does one exchange.
func (dispatcher *Dispatcher) try(ctx context.Context, run *run, number int, each func(string)) exchange {
	asked := dispatcher.clock.Now()
	permit, settle, err := dispatcher.queues.Acquire(ctx, dispatcher.permitRequest(run))
	if err != nil {
		return exchange{failure: permitFailure(ctx, err)}
	}
	if permit.Refusal != nil {
		return exchange{failure: &failure{kind: target.FailureNone, run: permit.Refusal.Run, refusal: permit.Refusal}}
	}
	dispatcher.metrics.Latency("permit_wait", dispatcher.clock.Now().Sub(asked))
	limits := timeouts{firstByte: run.service.FirstByteTimeout, token: run.service.TokenTimeout}
	var result exchange
	began := dispatcher.clock.Now()
	if run.dispatch.Kind == program.KindPlain {
		limits.firstByte = run.service.Timeout
		result = dispatcher.client.plain(ctx, permit.Target, run.dispatch, limits)
		if result.failure == nil {
			run.text = result.output
		}
	} else {
		result = dispatcher.generate(ctx, run, permit, number, limits, each)
	}
	report := result.report
	report.Request = permit.ID
	report.Duration = dispatcher.clock.Now().Sub(began)
	if result.failure != nil {
		report.Failure = result.failure.kind
		run.avoid = permit.Target
	}
	settle(report)
	dispatcher.metrics.Latency("target_first_byte", result.firstByte)
	return result
}

func permitFailure(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		kind := target.FailureCancel
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			kind = target.FailureTimeout
		}
		return &failure{kind: kind, run: refusal.NotRun, text: "no target was free in time"}
	}
	return &failure{kind: target.FailureRefused, run: refusal.NotRun, text: err.Error()}
}

func (dispatcher *Dispatcher) permitRequest(run *run) PermitRequest {
	output := outputDefault
	if count := len(run.dispatch.History); count > 0 {
		output = int(run.dispatch.Served)/count + 1
	}
	if run.dispatch.Kind == program.KindPlain {
		output = 1
	}
	sum := sha256.Sum256([]byte(run.dispatch.Input))
	return PermitRequest{
		Service: run.dispatch.Service, Program: run.dispatch.Program, Workspace: run.dispatch.Workspace,
		Prompt: (len(run.prompt) + len(run.text)) / bytesPerToken, Output: output, Attained: run.dispatch.Served,
		TimeoutMillis: max(1, run.dispatch.Deadline.Sub(dispatcher.clock.Now()).Milliseconds()),
		Digest:        hex.EncodeToString(sum[:8]), Avoid: run.avoid,
	}
}

// bytesPerToken estimates the size of prompts.
const bytesPerToken = 4

// generate runs one try on an engine. A stream that breaks off is resumed on
// the same engine first, with what came before left out.
func (dispatcher *Dispatcher) generate(ctx context.Context, run *run, permit Permit, number int, limits timeouts, each func(string)) exchange {
	collect := func(text string) {
		run.text += text
		run.tokens++
		each(text)
	}
	before := len(run.text)
	stream := fmt.Sprintf("%s.%d", run.dispatch.Attempt, number)
	result := dispatcher.client.generate(ctx, permit.Target, generation{
		Stream: stream, Program: run.dispatch.Program, Prompt: run.prompt, Prefix: run.text,
		MaxTokens: run.dispatch.MaxTokens,
	}, limits, collect)
	if result.failure != nil && len(run.text) > before && ctx.Err() == nil {
		dispatcher.metrics.Retried("resume")
		result = dispatcher.client.resume(ctx, permit.Target, stream, len(run.text)-before, limits, collect)
	}
	if result.failure != nil {
		go dispatcher.cancelStream(permit.Target, stream)
	}
	if result.failure == nil && result.report.Output > 0 {
		run.tokens = max(run.tokens, result.report.Output)
	}
	return result
}

// cancelStream stops the engine's work on a stream that nobody follows.
func (dispatcher *Dispatcher) cancelStream(address, stream string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseWait)
	defer cancel()
	path := fmt.Sprintf("http://%s/streams/%s", address, url.PathEscape(stream))
	if err := dispatcher.client.order(ctx, http.MethodDelete, path); err != nil {
		dispatcher.metrics.Count("stream_cancel_failed")
	}
}

// Release frees what targets hold for a program. The order is repeated until
// it is answered, because repeating it is harmless.
func (dispatcher *Dispatcher) Release(ctx context.Context, id string) {
	for _, address := range dispatcher.queues.Release(ctx, id) {
		path := fmt.Sprintf("http://%s/prefixes/%s", address, url.PathEscape(id))
		for try := range releaseTries {
			err := dispatcher.client.order(ctx, http.MethodDelete, path)
			if err == nil || ctx.Err() != nil {
				break
			}
			dispatcher.metrics.Retried("release")
			dispatcher.clock.Sleep(dispatcher.jitter(backoffBase << try))
		}
	}
}

// Prompt is the text that an engine completes for a call.
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
