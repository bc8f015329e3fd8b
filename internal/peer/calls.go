package peer

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Request is a call from another host.
type Request struct {
	Method  string
	Host    string
	message *frame
}

// Decode decodes the argument of the call, once: it releases the encoded argument.
func (request Request) Decode(argument any) error {
	if err := codec.Unmarshal(request.message.Payload, argument); err != nil {
		return fmt.Errorf("decode argument of %q from host %q: %w", request.Method, request.Host, err)
	}
	if length := len(request.message.Payload); length > smallPayloadBytes {
		request.message.Payload = nil
		request.message.held.reservation.Shrink(int64(length))
	}
	return nil
}

// Handler serves a call. The values passed to send reach the caller in order.
// The call ends when the handler returns, and the caller receives its error.
type Handler func(ctx context.Context, request Request, send func(value any) error) error

// serve runs the handler for a call of the other host. The memory of the argument is
// released when the handler has returned.
func (connection *connection) serve(message frame) {
	ctx, cancel := context.WithCancel(context.Background())
	if message.TimeoutMillis > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), time.Duration(message.TimeoutMillis)*time.Millisecond)
	}
	connection.mutex.Lock()
	connection.use()
	connection.serving[message.Stream] = cancel
	connection.mutex.Unlock()
	if !connection.alive() {
		cancel()
	}
	go func() {
		defer cancel()
		end := frame{Stream: message.Stream, Kind: kindEnd}
		request := Request{Method: message.Method, Host: connection.remote.Host, message: &message}
		if err := connection.handle(ctx, request, connection.sender(ctx, message.Stream)); err != nil {
			end.Refusal = shortened(refusal.From(err))
		}
		message.Payload = nil
		message.held.release()
		connection.mutex.Lock()
		delete(connection.serving, message.Stream)
		connection.use()
		connection.mutex.Unlock()
		// If the connection is closed, the remote host has already failed the call.
		_ = connection.send(context.Background(), end)
	}()
}

// shortened returns a refusal whose message has a bounded length.
func shortened(refused *refusal.Refusal) *refusal.Refusal {
	if len(refused.Message) <= maxRefusalMessage {
		return refused
	}
	short := *refused
	short.Message = fmt.Sprintf("%s... (%d bytes)", short.Message[:maxRefusalMessage], len(short.Message))
	return &short
}

// handle runs the handler. A panic fails the call, whose content has caused it, and
// not the process.
func (connection *connection) handle(ctx context.Context, request Request, send func(any) error) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			connection.logger.WithFields(log.Fields{"method": request.Method, "peer": request.Host, "panic": fmt.Sprint(recovered), "stack": string(debug.Stack())}).Error("call of another host made its handler panic")
			err = refusal.New(refusal.Internal, "handler of %q panicked: %v", request.Method, recovered).WithRun(refusal.RunUnknown)
		}
	}()
	return connection.handler(ctx, request, send)
}

// sender returns the function that sends the values of a response. A value for which
// there is no memory in time ends the call, which has run.
func (connection *connection) sender(ctx context.Context, stream uint64) func(any) error {
	return func(value any) error {
		payload, held, err := connection.encode(ctx, responsePatience, value)
		var refused *refusal.Refusal
		if errors.As(err, &refused) {
			return refused.WithRun(refusal.RunUnknown)
		}
		if err != nil {
			return fmt.Errorf("encode answer: %w", err)
		}
		return connection.send(ctx, frame{Stream: stream, Kind: kindData, Payload: payload, held: held})
	}
}

// use records the begin of the first call or the end of the last one. The caller
// holds the mutex.
func (connection *connection) use() {
	if len(connection.calls)+len(connection.serving) == 0 {
		connection.lastUsed = connection.clock.Now()
	}
}

// call calls a method of the remote host and runs onValue for each value of the
// response, of which up to queue frames wait.
func (connection *connection) call(ctx context.Context, method string, argument any, queue int, onValue func(Value) error) error {
	payload, held, err := connection.encode(ctx, requestPatience, argument)
	if err != nil {
		return fmt.Errorf("encode argument of %q: %w", method, err)
	}
	stream := connection.lastStream.Add(1)
	incoming := make(chan *frame, queue)
	connection.mutex.Lock()
	connection.use()
	connection.calls[stream] = incoming
	connection.mutex.Unlock()
	defer connection.forget(stream, incoming)
	message := frame{Stream: stream, Kind: kindRequest, Method: method, Payload: payload, held: held}
	if deadline, ok := ctx.Deadline(); ok {
		message.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	if err := connection.send(ctx, message); err != nil {
		return err
	}
	return connection.receive(ctx, stream, incoming, onValue)
}

// forget ends a call of this host, and releases the frames that it has not consumed.
func (connection *connection) forget(stream uint64, incoming chan *frame) {
	connection.mutex.Lock()
	delete(connection.calls, stream)
	connection.use()
	connection.mutex.Unlock()
	for len(incoming) > 0 { // nothing is added any more
		message := <-incoming
		message.held.release()
	}
}

// deliver passes a frame to the call of its stream. A call whose queue is full
// is ended, so that a slow consumer doesn't block the other calls.
func (connection *connection) deliver(message *frame) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	incoming, ok := connection.calls[message.Stream]
	if !ok {
		message.held.release()
		return
	}
	select {
	case incoming <- message:
		if message.failure == nil {
			return
		}
	default:
		message.held.release()
	}
	delete(connection.calls, message.Stream)
	close(incoming)
}

func (connection *connection) receive(ctx context.Context, stream uint64, incoming chan *frame, onValue func(Value) error) error {
	cancel := func(err error) error {
		// If the connection is closed, the remote host cancels the call by itself.
		_ = connection.send(context.Background(), frame{Stream: stream, Kind: kindCancel})
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return cancel(ctx.Err())
		case <-connection.done:
			return ErrConnection
		case message, ok := <-incoming:
			if !ok {
				return cancel(fmt.Errorf("call fell %d frames behind: %w", cap(incoming), ErrConnection))
			}
			if message.failure != nil {
				return cancel(noMemory(connection.local, message.discarded, message.failure).WithRun(refusal.RunUnknown))
			}
			if message.Kind == kindEnd {
				if message.Refusal != nil {
					return message.Refusal
				}
				return nil
			}
			err := onValue(Value{payload: message.Payload})
			message.held.release()
			if err != nil {
				return cancel(err)
			}
		}
	}
}

// Value is one value of a response. It is valid until the function returns that it was
// passed to.
type Value struct{ payload codec.Raw }

// Decode decodes the value.
func (value Value) Decode(result any) error {
	if err := codec.Unmarshal(value.payload, result); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
