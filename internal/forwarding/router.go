package forwarding

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/host"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/owner"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Transport sends requests to other hosts.
type Transport interface {
	Call(ctx context.Context, address, method string, argument any, onValue func(peer.Value) error) error
}

// Router finds the owner of a program and forwards requests to it.
type Router struct {
	clock       clockwork.Clock
	metrics     *metric.Metrics
	heartbeater *host.Heartbeater
	owner       *owner.Owner
	transport   Transport
	follower    *configuration.Follower
	local       host.Heartbeat

	mutex  sync.Mutex
	random *rand.Rand
}

const (
	maxHops         = 2 // from the receiving host through a relay to the owner
	minBackoff      = 40 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	relayCandidates = 2                // most recently seen hosts, one of which becomes the relay
	messageTimeout  = 15 * time.Second // of a request to open, end or query a program, with its retries
	// responseGrace is how long a call waits past its deadline for the owner to
	// report its result.
	responseGrace = 800 * time.Millisecond
)

// NewRouter returns a router. The seed determines the jitter of retries.
func NewRouter(clock clockwork.Clock, metrics *metric.Metrics, heartbeater *host.Heartbeater, owner *owner.Owner,
	transport Transport, follower *configuration.Follower, local host.Heartbeat, seed uint64) *Router {
	return &Router{
		clock: clock, metrics: metrics, heartbeater: heartbeater, owner: owner, transport: transport,
		follower: follower, local: local, random: rand.New(rand.NewPCG(seed, 3)),
	}
}

// nextHop is the host to which a request is sent next: the local host or an
// address.
type nextHop struct {
	isLocal bool
	address string
}

// resolveNextHop returns the next hop towards the owner of a program.
func (router *Router) resolveNextHop(id ID) (nextHop, *refusal.Refusal) {
	if id.DataCentre != router.local.DataCentre {
		return router.relay(id.DataCentre)
	}
	ownership := router.owner.Owners()[id.Slot]
	if ownership.Owner.Host == router.local.Name && ownership.Owner.Incarnation == router.local.Incarnation {
		return nextHop{isLocal: true}, nil
	}
	var hop nextHop
	alive := false
	router.heartbeater.View(func(membership *host.Membership, now time.Time) {
		alive = membership.Alive(now, ownership.Owner.Host, ownership.Owner.Incarnation)
		if member, ok := membership.Find(ownership.Owner.Host); ok {
			hop.address = member.Heartbeat().Address
		}
	})
	if !alive || hop.address == "" {
		return nextHop{}, refusal.New(refusal.OwnerUnavailable, "slot %d of data centre %q has no live owner", id.Slot, id.DataCentre)
	}
	return hop, nil
}

// relay picks a host of another data centre at random, among those seen most
// recently.
func (router *Router) relay(dataCentre string) (nextHop, *refusal.Refusal) {
	var known []host.Heartbeat
	router.heartbeater.View(func(membership *host.Membership, now time.Time) { known = membership.Known(now, dataCentre) })
	if len(known) == 0 {
		return nextHop{}, refusal.New(refusal.OwnerUnavailable, "no host of data centre %q is known", dataCentre)
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return nextHop{address: known[router.random.IntN(min(relayCandidates, len(known)))].Address}, nil
}

// retryReason reports whether a retry may reach the owner, and returns the
// label under which the retry is counted.
func retryReason(err error) (string, bool) {
	if errors.Is(err, peer.ErrConnection) {
		return "peer_connection", true
	}
	var refused *refusal.Refusal
	if errors.As(err, &refused) && (refused.Code == refusal.Moved || refused.Code == refusal.OwnerUnavailable) {
		return string(refused.Code), true
	}
	return "", false
}

// Call forwards a call to the owner of its program and passes the text of the
// answer to onText as it arrives. When the owner is lost, the call is sent
// again: the next owner reads from the ledger whether a non-idempotent call has
// already run.
func (router *Router) Call(ctx context.Context, message CallMessage, onText func(string) error) (program.Answer, error) {
	id, err := ParseID(message.Program)
	if err != nil {
		return program.Answer{}, refusal.New(refusal.NotFound, "program %q does not exist", message.Program)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.TimeoutMillis)*time.Millisecond+responseGrace)
	defer cancel()
	deadline := router.clock.Now().Add(time.Duration(message.TimeoutMillis) * time.Millisecond)
	mayHaveRun := false
	forward := func(text string) error {
		message.Partial += text
		return onText(text)
	}
	for try := 0; ; try++ {
		message.TimeoutMillis = max(1, deadline.Sub(router.clock.Now()).Milliseconds())
		answer, attemptMayHaveRun, err := router.callOnce(ctx, id, message, forward)
		mayHaveRun = mayHaveRun || attemptMayHaveRun
		if err == nil {
			return answer, nil
		}
		reason, retryable := retryReason(err)
		if !retryable || !router.clock.Now().Before(deadline) || !router.waitBackoff(ctx, reason, try) {
			return program.Answer{}, finalError(ctx, err, mayHaveRun)
		}
	}
}

// callOnce runs a call on this host if it owns the program, and otherwise
// forwards the call once. It also reports whether the call may have run.
func (router *Router) callOnce(ctx context.Context, id ID, message CallMessage, onText func(string) error) (program.Answer, bool, error) {
	next, refused := router.resolveNextHop(id)
	if refused != nil {
		return program.Answer{}, false, refused
	}
	if next.isLocal {
		answer, err := router.runLocalCall(ctx, id, message, onText)
		return answer, !reportsNotRun(err), err
	}
	if message.Hops >= maxHops {
		return program.Answer{}, false, refusal.New(refusal.Moved, "program %q moved while the call was on its way", message.Program)
	}
	message.Hops++
	var answer *program.Answer
	err := router.transport.Call(ctx, next.address, MethodCall, message, func(value peer.Value) error {
		var event CallEvent
		if err := value.Decode(&event); err != nil {
			return err
		}
		if event.Answer != nil {
			answer = event.Answer
		}
		if event.Text != "" {
			return onText(event.Text)
		}
		return nil
	})
	if err == nil && answer == nil {
		err = peer.ErrConnection
	}
	if err != nil {
		return program.Answer{}, !reportsNotRun(err), err
	}
	return *answer, true, nil
}

// reportsNotRun reports whether an error states that the call did not run.
func reportsNotRun(err error) bool {
	var refused *refusal.Refusal
	return errors.As(err, &refused) && refused.Run == refusal.NotRun
}

// finalError converts the last error of a request to the error that its caller
// gets. mayHaveRun is set if any attempt may have run the call.
func finalError(ctx context.Context, err error, mayHaveRun bool) error {
	var refused *refusal.Refusal
	if errors.As(err, &refused) && refused.Code != refusal.Moved && refused.Code != refusal.OwnerUnavailable {
		return refused
	}
	run := refusal.NotRun
	if mayHaveRun {
		run = refusal.RunUnknown
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return refusal.New(refusal.Cancelled, "the caller went away").WithRun(run)
	case mayHaveRun:
		return refusal.New(refusal.OutcomeUnknown, "the owner of the program was lost during the call").WithRun(run).WithRetryAfter(time.Second)
	default:
		return refusal.New(refusal.OwnerUnavailable, "the owner of the program cannot be reached").WithRetryAfter(time.Second)
	}
}

// waitBackoff waits for a jittered exponential backoff before the next attempt.
// It reports false if the context is done.
func (router *Router) waitBackoff(ctx context.Context, reason string, try int) bool {
	router.metrics.CountRetry(reason)
	delay := min(maxBackoff, minBackoff<<min(try, 10))
	router.mutex.Lock()
	delay = delay/2 + time.Duration(router.random.Int64N(int64(delay)))
	router.mutex.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-router.clock.After(delay):
		return true
	}
}

// HandleCall handles a call that another host has forwarded to this one.
func (router *Router) HandleCall(ctx context.Context, message CallMessage, send func(CallEvent) error) error {
	id, err := ParseID(message.Program)
	if err != nil {
		return refusal.New(refusal.NotFound, "program %q does not exist", message.Program)
	}
	onText := func(text string) error { return send(CallEvent{Text: text}) }
	var answer program.Answer
	if next, refused := router.resolveNextHop(id); refused == nil && next.isLocal {
		answer, err = router.runLocalCall(ctx, id, message, onText)
	} else {
		answer, err = router.Call(ctx, message, onText)
	}
	if err != nil {
		return err
	}
	return send(CallEvent{Answer: &answer})
}

// runLocalCall runs a call on this host, which owns the program.
func (router *Router) runLocalCall(ctx context.Context, id ID, message CallMessage, onText func(string) error) (program.Answer, error) {
	service, ok := router.follower.Text().Service(message.Service)
	if !ok {
		return program.Answer{}, refusal.New(refusal.UnknownService, "service %q does not exist", message.Service)
	}
	request := program.Request{
		Workspace: message.Workspace, Program: message.Program, Call: message.Call, Turn: message.Turn,
		Service: message.Service, Kind: program.Kind(service.Kind), Repeatable: service.Repeatable,
		Input: message.Input, MaxTokens: message.MaxTokens, Cost: service.Cost,
		Timeout: time.Duration(message.TimeoutMillis) * time.Millisecond, Partial: message.Partial, Open: message.Open,
	}
	return router.owner.Call(ctx, id.Slot, request, onText)
}

// Open opens a program.
func (router *Router) Open(ctx context.Context, id ID, open ledger.Open) error {
	_, err := router.sendMessage(ctx, MethodOpen, ProgramMessage{Program: id.String(), Workspace: open.Workspace, Open: &open})
	return err
}

// End ends a program.
func (router *Router) End(ctx context.Context, id, workspace string) error {
	_, err := router.sendMessage(ctx, MethodEnd, ProgramMessage{Program: id, Workspace: workspace})
	return err
}

// Query returns the state and history of a program.
func (router *Router) Query(ctx context.Context, id, workspace string) (*program.View, error) {
	response, err := router.sendMessage(ctx, MethodQuery, ProgramMessage{Program: id, Workspace: workspace})
	if err != nil {
		return nil, err
	}
	return response.View, nil
}

// Inspect returns the state of a program of any workspace, for operators.
func (router *Router) Inspect(ctx context.Context, id string) (*program.View, error) {
	response, err := router.sendMessage(ctx, MethodQuery, ProgramMessage{Program: id, Operator: true})
	if err != nil {
		return nil, err
	}
	return response.View, nil
}

// sendMessage forwards a message to the owner of its program and retries while
// the owner cannot be reached. Retries are safe, because all these messages are
// idempotent.
func (router *Router) sendMessage(ctx context.Context, method string, message ProgramMessage) (ProgramResponse, error) {
	id, err := ParseID(message.Program)
	if err != nil {
		return ProgramResponse{}, refusal.New(refusal.NotFound, "program %q does not exist", message.Program)
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	for try := 0; ; try++ {
		response, err := router.sendMessageOnce(ctx, id, method, message)
		if err == nil {
			return response, nil
		}
		reason, retryable := retryReason(err)
		if !retryable || ctx.Err() != nil || !router.waitBackoff(ctx, reason, try) {
			return ProgramResponse{}, finalError(ctx, err, false)
		}
	}
}

func (router *Router) sendMessageOnce(ctx context.Context, id ID, method string, message ProgramMessage) (ProgramResponse, error) {
	next, refused := router.resolveNextHop(id)
	if refused != nil {
		return ProgramResponse{}, refused
	}
	if next.isLocal {
		return router.handleLocalMessage(ctx, id, method, message)
	}
	if message.Hops >= maxHops {
		return ProgramResponse{}, refusal.New(refusal.Moved, "program %q moved while the request was on its way", message.Program)
	}
	message.Hops++
	var response ProgramResponse
	err := router.transport.Call(ctx, next.address, method, message, func(value peer.Value) error { return value.Decode(&response) })
	return response, err
}

// HandleMessage handles a message that another host has forwarded to this one.
func (router *Router) HandleMessage(ctx context.Context, method string, message ProgramMessage) (ProgramResponse, error) {
	return router.sendMessage(ctx, method, message)
}

func (router *Router) handleLocalMessage(ctx context.Context, id ID, method string, message ProgramMessage) (ProgramResponse, error) {
	switch method {
	case MethodOpen:
		if message.Open == nil {
			return ProgramResponse{}, refusal.New(refusal.BadRequest, "message to open program %q has no terms", message.Program)
		}
		return ProgramResponse{}, router.owner.Open(ctx, id.Slot, message.Program, *message.Open)
	case MethodEnd:
		return ProgramResponse{}, router.owner.End(ctx, message.Program, message.Workspace)
	default:
		view, err := router.owner.Query(ctx, message.Program, message.Workspace, message.Operator)
		return ProgramResponse{View: view}, err
	}
}
