package entry

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

// Transport reaches other hosts.
type Transport interface {
	Call(ctx context.Context, address, method string, argument any, each func(peer.Value) error) error
}

// Router finds the owner of a program and brings requests there.
type Router struct {
	clock     clockwork.Clock
	metrics   *metric.Metrics
	beater    *host.Beater
	owner     *owner.Owner
	transport Transport
	follower  *configuration.Follower
	own       host.Heartbeat

	mutex  sync.Mutex
	random *rand.Rand
}

const (
	maxHops      = 2 // entry host, relay, owner
	backoffBase  = 40 * time.Millisecond
	backoffLimit = 500 * time.Millisecond
	relayChoices = 2
	askTimeout   = 15 * time.Second
	// answerGrace is how long past its deadline a call waits for the owner to
	// say what became of it.
	answerGrace = 800 * time.Millisecond
)

// NewRouter returns a router. The seed is for the jitter of retries.
func NewRouter(clock clockwork.Clock, metrics *metric.Metrics, beater *host.Beater, owner *owner.Owner,
	transport Transport, follower *configuration.Follower, own host.Heartbeat, seed uint64) *Router {
	return &Router{
		clock: clock, metrics: metrics, beater: beater, owner: owner, transport: transport,
		follower: follower, own: own, random: rand.New(rand.NewPCG(seed, 3)),
	}
}

// place is where a request goes next: an address, or the own host.
type place struct {
	local   bool
	address string
}

// locate finds the next hop towards the owner of a program.
func (router *Router) locate(id ID) (place, *refusal.Refusal) {
	if id.DataCentre != router.own.DataCentre {
		return router.relay(id.DataCentre)
	}
	ownership := router.owner.Owners()[id.Slot]
	if ownership.Owner.Host == router.own.Name && ownership.Owner.Incarnation == router.own.Incarnation {
		return place{local: true}, nil
	}
	var found place
	alive := false
	router.beater.View(func(membership *host.Membership, now time.Time) {
		alive = membership.Alive(now, ownership.Owner.Host, ownership.Owner.Incarnation)
		if member, ok := membership.Find(ownership.Owner.Host); ok {
			found.address = member.Heartbeat().Address
		}
	})
	if !alive || found.address == "" {
		return place{}, refusal.New(refusal.OwnerUnavailable, "slot %d of data centre %q has no live owner", id.Slot, id.DataCentre)
	}
	return found, nil
}

// relay picks a host of another data centre.
func (router *Router) relay(dataCentre string) (place, *refusal.Refusal) {
	var known []host.Heartbeat
	router.beater.View(func(membership *host.Membership, now time.Time) { known = membership.Known(now, dataCentre) })
	if len(known) == 0 {
		return place{}, refusal.New(refusal.OwnerUnavailable, "no host of data centre %q is known", dataCentre)
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return place{address: known[router.random.IntN(min(relayChoices, len(known)))].Address}, nil
}

// retryable reports whether another try may reach the owner, and the counter
// of the reason.
func retryable(err error) (string, bool) {
	if errors.Is(err, peer.ErrConnection) {
		return "peer_connection", true
	}
	var refused *refusal.Refusal
	if errors.As(err, &refused) && (refused.Code == refusal.Moved || refused.Code == refusal.OwnerUnavailable) {
		return string(refused.Code), true
	}
	return "", false
}

// Call brings a call to the owner of its program. Each gets the text of the
// answer as it comes. A call is sent again when its owner is lost: the owner
// that has it next answers from the ledger what may not run twice.
func (router *Router) Call(ctx context.Context, message CallMessage, each func(string) error) (program.Answer, error) {
	id, err := ParseID(message.Program)
	if err != nil {
		return program.Answer{}, refusal.New(refusal.NotFound, "program %q does not exist", message.Program)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(message.TimeoutMillis)*time.Millisecond+answerGrace)
	defer cancel()
	deadline := router.clock.Now().Add(time.Duration(message.TimeoutMillis) * time.Millisecond)
	sent := false
	collect := func(text string) error {
		message.Partial += text
		return each(text)
	}
	for try := 0; ; try++ {
		message.TimeoutMillis = max(1, deadline.Sub(router.clock.Now()).Milliseconds())
		answer, reached, err := router.callOnce(ctx, id, message, collect)
		sent = sent || reached
		if err == nil {
			return answer, nil
		}
		reason, again := retryable(err)
		if !again || !router.clock.Now().Before(deadline) || !router.pause(ctx, reason, try) {
			return program.Answer{}, givenUp(ctx, err, sent)
		}
	}
}

// callOnce makes one try. Reached tells whether an owner may have the call.
func (router *Router) callOnce(ctx context.Context, id ID, message CallMessage, each func(string) error) (program.Answer, bool, error) {
	next, refused := router.locate(id)
	if refused != nil {
		return program.Answer{}, false, refused
	}
	if next.local {
		answer, err := router.serveCall(ctx, id, message, each)
		return answer, !notReached(err), err
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
			return each(event.Text)
		}
		return nil
	})
	if err == nil && answer == nil {
		err = peer.ErrConnection
	}
	if err != nil {
		return program.Answer{}, !notReached(err), err
	}
	return *answer, true, nil
}

// notReached reports whether an error says that the call did not run.
func notReached(err error) bool {
	var refused *refusal.Refusal
	return errors.As(err, &refused) && refused.Run == refusal.NotRun
}

// givenUp turns the last error of a call into its refusal.
func givenUp(ctx context.Context, err error, sent bool) error {
	var refused *refusal.Refusal
	if errors.As(err, &refused) && refused.Code != refusal.Moved && refused.Code != refusal.OwnerUnavailable {
		return refused
	}
	run := refusal.NotRun
	if sent {
		run = refusal.Unknown
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return refusal.New(refusal.Cancelled, "the caller went away").WithRun(run)
	case sent:
		return refusal.New(refusal.OutcomeUnknown, "the owner of the program was lost during the call").WithRun(run).WithRetryAfter(time.Second)
	default:
		return refusal.New(refusal.OwnerUnavailable, "the owner of the program cannot be reached").WithRetryAfter(time.Second)
	}
}

// pause waits before the next try. It reports false if the context ended.
func (router *Router) pause(ctx context.Context, reason string, try int) bool {
	router.metrics.Retried(reason)
	delay := min(backoffLimit, backoffBase<<min(try, 10))
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

// ServeCall answers a call that another host has sent here.
func (router *Router) ServeCall(ctx context.Context, message CallMessage, send func(CallEvent) error) error {
	id, err := ParseID(message.Program)
	if err != nil {
		return refusal.New(refusal.NotFound, "program %q does not exist", message.Program)
	}
	each := func(text string) error { return send(CallEvent{Text: text}) }
	var answer program.Answer
	if next, refused := router.locate(id); refused == nil && next.local {
		answer, err = router.serveCall(ctx, id, message, each)
	} else {
		answer, err = router.Call(ctx, message, each)
	}
	if err != nil {
		return err
	}
	return send(CallEvent{Answer: &answer})
}

// serveCall runs a call on this host's machine.
func (router *Router) serveCall(ctx context.Context, id ID, message CallMessage, each func(string) error) (program.Answer, error) {
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
	return router.owner.Call(ctx, id.Slot, request, each)
}

// Open starts a program.
func (router *Router) Open(ctx context.Context, id ID, open ledger.Open) error {
	_, err := router.ask(ctx, MethodOpen, ProgramMessage{Program: id.String(), Workspace: open.Workspace, Open: &open})
	return err
}

// End closes a program.
func (router *Router) End(ctx context.Context, id, workspace string) error {
	_, err := router.ask(ctx, MethodEnd, ProgramMessage{Program: id, Workspace: workspace})
	return err
}

// Query returns the state and history of a program.
func (router *Router) Query(ctx context.Context, id, workspace string) (*program.View, error) {
	answer, err := router.ask(ctx, MethodQuery, ProgramMessage{Program: id, Workspace: workspace})
	if err != nil {
		return nil, err
	}
	return answer.View, nil
}

// Inspect returns the state of a program of any workspace to an operator.
func (router *Router) Inspect(ctx context.Context, id string) (*program.View, error) {
	answer, err := router.ask(ctx, MethodQuery, ProgramMessage{Program: id, Operator: true})
	if err != nil {
		return nil, err
	}
	return answer.View, nil
}

// ask brings a message to the owner of its program and tries again while the
// owner cannot be reached. All these messages may be repeated.
func (router *Router) ask(ctx context.Context, method string, message ProgramMessage) (ProgramAnswer, error) {
	id, err := ParseID(message.Program)
	if err != nil {
		return ProgramAnswer{}, refusal.New(refusal.NotFound, "program %q does not exist", message.Program)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for try := 0; ; try++ {
		answer, err := router.askOnce(ctx, id, method, message)
		if err == nil {
			return answer, nil
		}
		reason, again := retryable(err)
		if !again || ctx.Err() != nil || !router.pause(ctx, reason, try) {
			return ProgramAnswer{}, givenUp(ctx, err, false)
		}
	}
}

func (router *Router) askOnce(ctx context.Context, id ID, method string, message ProgramMessage) (ProgramAnswer, error) {
	next, refused := router.locate(id)
	if refused != nil {
		return ProgramAnswer{}, refused
	}
	if next.local {
		return router.serve(ctx, id, method, message)
	}
	if message.Hops >= maxHops {
		return ProgramAnswer{}, refusal.New(refusal.Moved, "program %q moved while the request was on its way", message.Program)
	}
	message.Hops++
	var answer ProgramAnswer
	err := router.transport.Call(ctx, next.address, method, message, func(value peer.Value) error { return value.Decode(&answer) })
	return answer, err
}

// Serve answers a message that another host has sent here.
func (router *Router) Serve(ctx context.Context, method string, message ProgramMessage) (ProgramAnswer, error) {
	return router.ask(ctx, method, message)
}

func (router *Router) serve(ctx context.Context, id ID, method string, message ProgramMessage) (ProgramAnswer, error) {
	switch method {
	case MethodOpen:
		if message.Open == nil {
			return ProgramAnswer{}, refusal.New(refusal.BadRequest, "message to open program %q has no terms", message.Program)
		}
		return ProgramAnswer{}, router.owner.Open(ctx, id.Slot, message.Program, *message.Open)
	case MethodEnd:
		return ProgramAnswer{}, router.owner.End(ctx, message.Program, message.Workspace)
	default:
		view, err := router.owner.Query(ctx, message.Program, message.Workspace, message.Operator)
		return ProgramAnswer{View: view}, err
	}
}
