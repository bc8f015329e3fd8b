package owner

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// ask sends an event and waits for the reply to its token, following the text
// of a call.
func (owner *Owner) ask(ctx context.Context, token program.Token, event program.Event, sent int, each func(string) error) (program.Reply, error) {
	waiting := &waiter{reply: make(chan program.Reply, 1), stream: make(chan *textStream, 1)}
	running := owner.loop.Post(func() {
		owner.waiters[token] = waiting
		owner.step(event)
	})
	if !running {
		return program.Reply{}, refusal.New(refusal.OwnerUnavailable, "the owner of the program is stopping")
	}
	follower := &follower{sent: sent, each: each}
	for {
		select {
		case reply := <-waiting.reply:
			return reply, follower.take()
		case follower.stream = <-waiting.stream:
		case <-follower.changed:
		case <-ctx.Done():
			owner.loop.Post(func() {
				delete(owner.waiters, token)
				owner.step(program.Disconnected{Token: token})
			})
			return program.Reply{}, ctx.Err()
		}
		if err := follower.take(); err != nil {
			owner.loop.Post(func() {
				delete(owner.waiters, token)
				owner.step(program.Disconnected{Token: token})
			})
			return program.Reply{}, err
		}
	}
}

// follower passes on the part of a text that its caller does not have.
type follower struct {
	stream  *textStream
	changed <-chan struct{}
	sent    int
	each    func(string) error
}

func (follower *follower) take() error {
	if follower.stream == nil || follower.each == nil {
		return nil
	}
	text, changed := follower.stream.from(follower.sent)
	follower.changed = changed
	if text == "" {
		return nil
	}
	follower.sent += len(text)
	return follower.each(text)
}

// Pending returns the number of calls that are under way or not yet committed.
func (owner *Owner) Pending() int {
	pending := 0
	owner.loop.Do(func() { pending = owner.machine.Pending() + len(owner.running) })
	return pending + len(owner.ledger.ring) + len(owner.history.ring)
}

// backlogged reports whether the log is so far behind that new calls might
// not find room in the rings that lead to it.
func (owner *Owner) backlogged() bool {
	return len(owner.ledger.ring) > writerRing*3/4 || len(owner.history.ring) > writerRing*3/4
}

// Call runs a call of a program. Each gets the text that follows the partial
// answer of the request.
func (owner *Owner) Call(ctx context.Context, slot int, request program.Request, each func(string) error) (program.Answer, error) {
	if owner.backlogged() {
		refused := refusal.New(refusal.LogUnavailable, "the log is too far behind to take more calls").WithRetryAfter(time.Second)
		if !request.Repeatable {
			// An earlier send of the same call may have run.
			refused = refused.WithRun(refusal.Unknown)
		}
		return program.Answer{}, refused
	}
	request.Token = program.Token(owner.nextID.Add(1))
	reply, err := owner.ask(ctx, request.Token, program.Called{Slot: slot, Request: request}, len(request.Partial), each)
	if err != nil {
		return program.Answer{}, err
	}
	if reply.Refusal != nil {
		return program.Answer{}, reply.Refusal
	}
	return *reply.Answer, nil
}

// Open starts a program.
func (owner *Owner) Open(ctx context.Context, slot int, id string, open ledger.Open) error {
	token := program.Token(owner.nextID.Add(1))
	reply, err := owner.ask(ctx, token, program.Opened{Token: token, Program: id, Slot: slot, Open: open}, 0, nil)
	return errorOf(reply, err)
}

// End closes a program.
func (owner *Owner) End(ctx context.Context, id, workspace string) error {
	token := program.Token(owner.nextID.Add(1))
	reply, err := owner.ask(ctx, token, program.Ended{Token: token, Program: id, Workspace: workspace}, 0, nil)
	return errorOf(reply, err)
}

// Query returns the state of a program, to an operator without its texts.
func (owner *Owner) Query(ctx context.Context, id, workspace string, operator bool) (*program.View, error) {
	token := program.Token(owner.nextID.Add(1))
	event := program.Queried{Token: token, Program: id, Workspace: workspace, Operator: operator}
	reply, err := owner.ask(ctx, token, event, 0, nil)
	if err := errorOf(reply, err); err != nil {
		return nil, err
	}
	return reply.View, nil
}

func errorOf(reply program.Reply, err error) error {
	if err != nil {
		return err
	}
	if reply.Refusal != nil {
		return reply.Refusal
	}
	return nil
}
