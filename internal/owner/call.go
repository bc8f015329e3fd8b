package owner

import (
	"context"
	"time"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// submit posts an event to the state machine and waits for the reply to its
// reply token. Meanwhile it passes the output of the call to onText, without
// the first sent bytes, which the caller already has.
func (owner *Owner) submit(ctx context.Context, replyToken program.ReplyToken, event program.Event, sent int, onText func(string) error) (program.Reply, error) {
	pending := &waiter{reply: make(chan program.Reply, 1), stream: make(chan *textStream, 1)}
	posted := owner.loop.Post(func() {
		owner.waiters[replyToken] = pending
		owner.step(event)
	})
	if !posted {
		return program.Reply{}, refusal.New(refusal.OwnerUnavailable, "the owner of the program is stopping")
	}
	subscriber := &subscriber{sent: sent, onText: onText}
	for {
		select {
		case reply := <-pending.reply:
			return reply, subscriber.forward()
		case subscriber.stream = <-pending.stream:
		case <-subscriber.changed:
		case <-ctx.Done():
			owner.loop.Post(func() {
				delete(owner.waiters, replyToken)
				owner.step(program.Disconnected{ReplyToken: replyToken})
			})
			return program.Reply{}, ctx.Err()
		}
		if err := subscriber.forward(); err != nil {
			owner.loop.Post(func() {
				delete(owner.waiters, replyToken)
				owner.step(program.Disconnected{ReplyToken: replyToken})
			})
			return program.Reply{}, err
		}
	}
}

// subscriber passes on the text of a call that its caller has not received yet.
type subscriber struct {
	stream  *textStream
	changed <-chan struct{}
	sent    int
	onText  func(string) error
}

func (subscriber *subscriber) forward() error {
	if subscriber.stream == nil || subscriber.onText == nil {
		return nil
	}
	text, changed := subscriber.stream.readFrom(subscriber.sent)
	subscriber.changed = changed
	if text == "" {
		return nil
	}
	subscriber.sent += len(text)
	return subscriber.onText(text)
}

// Pending returns the number of unfinished items: calls that are in flight or
// not yet committed, and records and history entries that wait to be appended.
// A running call counts twice.
func (owner *Owner) Pending() int {
	pending := 0
	owner.loop.Do(func() { pending = owner.machine.Pending() + len(owner.running) })
	return pending + len(owner.ledgerWriter.queue) + len(owner.historyWriter.queue)
}

// backlogged reports whether the queues of the log writers are so full that the
// records of new calls might not fit.
func (owner *Owner) backlogged() bool {
	return len(owner.ledgerWriter.queue) > writerQueueSize*3/4 || len(owner.historyWriter.queue) > writerQueueSize*3/4
}

// Call runs a call of a program. It passes the output of the call to onText,
// without the partial output that the request contains.
func (owner *Owner) Call(ctx context.Context, slot int, request program.Request, onText func(string) error) (program.Answer, error) {
	if owner.backlogged() {
		refused := refusal.New(refusal.LogUnavailable, "the log is too far behind to take more calls").WithRetryAfter(time.Second)
		if !request.Repeatable {
			// An earlier send of the same call may have run.
			refused = refused.WithRun(refusal.RunUnknown)
		}
		return program.Answer{}, refused
	}
	request.ReplyToken = program.ReplyToken(owner.nextReplyToken.Add(1))
	reply, err := owner.submit(ctx, request.ReplyToken, program.CallRequest{Slot: slot, Request: request}, len(request.Partial), onText)
	if err != nil {
		return program.Answer{}, err
	}
	if reply.Refusal != nil {
		return program.Answer{}, reply.Refusal
	}
	return *reply.Answer, nil
}

// Open opens a program.
func (owner *Owner) Open(ctx context.Context, slot int, id string, open ledger.Open) error {
	replyToken := program.ReplyToken(owner.nextReplyToken.Add(1))
	reply, err := owner.submit(ctx, replyToken, program.OpenRequest{ReplyToken: replyToken, Program: id, Slot: slot, Open: open}, 0, nil)
	return replyError(reply, err)
}

// End ends a program.
func (owner *Owner) End(ctx context.Context, id, workspace string) error {
	replyToken := program.ReplyToken(owner.nextReplyToken.Add(1))
	reply, err := owner.submit(ctx, replyToken, program.EndRequest{ReplyToken: replyToken, Program: id, Workspace: workspace}, 0, nil)
	return replyError(reply, err)
}

// Query returns the state of a program. An operator gets it without the texts
// of the turns.
func (owner *Owner) Query(ctx context.Context, id, workspace string, operator bool) (*program.View, error) {
	replyToken := program.ReplyToken(owner.nextReplyToken.Add(1))
	event := program.QueryRequest{ReplyToken: replyToken, Program: id, Workspace: workspace, Operator: operator}
	reply, err := owner.submit(ctx, replyToken, event, 0, nil)
	if err := replyError(reply, err); err != nil {
		return nil, err
	}
	return reply.View, nil
}

func replyError(reply program.Reply, err error) error {
	if err != nil {
		return err
	}
	if reply.Refusal != nil {
		return reply.Refusal
	}
	return nil
}
