package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// ErrConnection is wrapped by the errors of calls whose connection could not be
// established or was lost.
var ErrConnection = errors.New("peer connection lost")

// Request is a call from another host.
type Request struct {
	Method  string
	Host    string
	payload codec.Raw
}

// Decode decodes the argument of the call.
func (request Request) Decode(argument any) error {
	if err := codec.Unmarshal(request.payload, argument); err != nil {
		return fmt.Errorf("decode argument of %q from host %q: %w", request.Method, request.Host, err)
	}
	return nil
}

// Handler serves a call. The values passed to send reach the caller in order.
// The call ends when the handler returns, and the caller receives its error.
type Handler func(ctx context.Context, request Request, send func(value any) error) error

const (
	pingInterval        = 500 * time.Millisecond
	livenessTimeout     = 2 * time.Second // a connection that receives nothing for longer is closed
	writeTimeout        = 2 * time.Second
	outgoingQueueFrames = 1024 // frames of a connection that wait to be written
	incomingQueueFrames = 1024 // received frames that wait to be consumed by one call
)

// connection multiplexes calls in both directions over one socket. The maps are
// indexed by stream: calls contains the calls made by this host, serving the
// cancellation functions of the calls made by the remote host.
type connection struct {
	socket            net.Conn
	clock             clockwork.Clock
	logger            log.Interface
	handler           Handler
	remote            hello
	outgoing          chan frame
	done              chan struct{}
	closeOnce         sync.Once
	lastReceivedNanos atomic.Int64
	lastStream        atomic.Uint64

	mutex   sync.Mutex
	calls   map[uint64]chan frame
	serving map[uint64]context.CancelFunc
}

func newConnection(socket net.Conn, clock clockwork.Clock, logger log.Interface, handler Handler) *connection {
	return &connection{
		socket: socket, clock: clock, logger: logger, handler: handler, outgoing: make(chan frame, outgoingQueueFrames), done: make(chan struct{}),
		calls: make(map[uint64]chan frame), serving: make(map[uint64]context.CancelFunc),
	}
}

// handshake exchanges hello frames and checks the shared secret.
func (connection *connection) handshake(local hello) error {
	// Socket deadlines are in real time, even if the clock is a fake.
	if err := connection.socket.SetDeadline(time.Now().Add(livenessTimeout)); err != nil {
		return err
	}
	payload, err := codec.Marshal(local)
	if err != nil {
		return err
	}
	if err := writeFrame(connection.socket, frame{Kind: kindHello, Payload: payload}); err != nil {
		return err
	}
	received, err := readFrame(connection.socket)
	if err != nil {
		return fmt.Errorf("read greeting: %w", err)
	}
	if received.Kind != kindHello {
		return fmt.Errorf("first frame has kind %d, expected a greeting", received.Kind)
	}
	if err := codec.Unmarshal(received.Payload, &connection.remote); err != nil {
		return fmt.Errorf("decode greeting: %w", err)
	}
	if !equalSecrets(connection.remote.Secret, local.Secret) {
		return fmt.Errorf("host %q presented a wrong peer secret", connection.remote.Host)
	}
	return connection.socket.SetDeadline(time.Time{})
}

// start runs the goroutines that read frames, write frames and send pings.
func (connection *connection) start() {
	connection.lastReceivedNanos.Store(connection.clock.Now().UnixNano())
	go connection.writeFrames()
	go connection.readFrames()
	go connection.sendPings()
}

// close closes the socket and ends all calls on the connection.
func (connection *connection) close() {
	connection.closeOnce.Do(func() {
		close(connection.done)
		connection.socket.Close()
		connection.mutex.Lock()
		defer connection.mutex.Unlock()
		for _, cancel := range connection.serving {
			cancel()
		}
	})
}

func (connection *connection) alive() bool {
	select {
	case <-connection.done:
		return false
	default:
		return true
	}
}

// send queues a frame. It fails if the connection is closed or the context ends.
func (connection *connection) send(ctx context.Context, message frame) error {
	select {
	case connection.outgoing <- message:
		return nil
	case <-connection.done:
		return ErrConnection
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (connection *connection) writeFrames() {
	defer connection.close()
	writer := bufio.NewWriter(connection.socket)
	for {
		select {
		case <-connection.done:
			return
		case message := <-connection.outgoing:
			if err := connection.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return
			}
			if err := writeFrame(writer, message); err != nil {
				return
			}
			if len(connection.outgoing) > 0 {
				continue
			}
			if err := writer.Flush(); err != nil {
				return
			}
		}
	}
}

// sendPings sends a ping at each interval. It closes the connection if nothing
// was received for livenessTimeout.
func (connection *connection) sendPings() {
	ticker := connection.clock.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-connection.done:
			return
		case <-ticker.Chan():
			if connection.clock.Since(time.Unix(0, connection.lastReceivedNanos.Load())) > livenessTimeout {
				connection.close()
				return
			}
			select {
			case connection.outgoing <- frame{Kind: kindPing}:
			default:
			}
		}
	}
}

func (connection *connection) readFrames() {
	defer connection.close()
	reader := bufio.NewReader(connection.socket)
	for {
		message, err := readFrame(reader)
		if err != nil {
			return
		}
		connection.lastReceivedNanos.Store(connection.clock.Now().UnixNano())
		connection.handleFrame(message)
	}
}

func (connection *connection) handleFrame(message frame) {
	switch message.Kind {
	case kindRequest:
		connection.serve(message)
	case kindCancel:
		connection.mutex.Lock()
		cancel := connection.serving[message.Stream]
		connection.mutex.Unlock()
		if cancel != nil {
			cancel()
		}
	case kindData, kindEnd:
		connection.deliver(message)
	case kindPing:
		select {
		case connection.outgoing <- frame{Kind: kindPong}:
		default:
		}
	}
}

// deliver passes a frame to the call of its stream. A call whose queue is full
// is ended, so that a slow consumer doesn't block the other calls.
func (connection *connection) deliver(message frame) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	incoming, ok := connection.calls[message.Stream]
	if !ok {
		return
	}
	select {
	case incoming <- message:
	default:
		delete(connection.calls, message.Stream)
		close(incoming)
	}
}

func (connection *connection) serve(message frame) {
	ctx, cancel := context.WithCancel(context.Background())
	if message.TimeoutMillis > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), time.Duration(message.TimeoutMillis)*time.Millisecond)
	}
	connection.mutex.Lock()
	connection.serving[message.Stream] = cancel
	connection.mutex.Unlock()
	if !connection.alive() {
		cancel()
	}
	go func() {
		defer cancel()
		end := frame{Stream: message.Stream, Kind: kindEnd}
		request := Request{Method: message.Method, Host: connection.remote.Host, payload: message.Payload}
		if err := connection.handle(ctx, request, connection.sender(ctx, message.Stream)); err != nil {
			end.Refusal = refusal.From(err)
		}
		connection.mutex.Lock()
		delete(connection.serving, message.Stream)
		connection.mutex.Unlock()
		// If the connection is closed, the remote host has already failed the call.
		_ = connection.send(context.Background(), end)
	}()
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

func (connection *connection) sender(ctx context.Context, stream uint64) func(any) error {
	return func(value any) error {
		payload, err := codec.Marshal(value)
		if err != nil {
			return fmt.Errorf("encode answer: %w", err)
		}
		return connection.send(ctx, frame{Stream: stream, Kind: kindData, Payload: payload})
	}
}

// call calls a method of the remote host and runs onValue for each value of the
// response.
func (connection *connection) call(ctx context.Context, method string, argument any, onValue func(Value) error) error {
	payload, err := codec.Marshal(argument)
	if err != nil {
		return fmt.Errorf("encode argument of %q: %w", method, err)
	}
	stream := connection.lastStream.Add(1)
	incoming := make(chan frame, incomingQueueFrames)
	connection.mutex.Lock()
	connection.calls[stream] = incoming
	connection.mutex.Unlock()
	defer func() {
		connection.mutex.Lock()
		delete(connection.calls, stream)
		connection.mutex.Unlock()
	}()
	message := frame{Stream: stream, Kind: kindRequest, Method: method, Payload: payload}
	if deadline, ok := ctx.Deadline(); ok {
		message.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	if err := connection.send(ctx, message); err != nil {
		return err
	}
	return connection.receive(ctx, stream, incoming, onValue)
}

func (connection *connection) receive(ctx context.Context, stream uint64, incoming chan frame, onValue func(Value) error) error {
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
				return cancel(fmt.Errorf("call fell %d frames behind: %w", incomingQueueFrames, ErrConnection))
			}
			if message.Kind == kindEnd {
				if message.Refusal != nil {
					return message.Refusal
				}
				return nil
			}
			if err := onValue(Value{payload: message.Payload}); err != nil {
				return cancel(err)
			}
		}
	}
}

// Value is one value of a response.
type Value struct{ payload codec.Raw }

// Decode decodes the value.
func (value Value) Decode(result any) error {
	if err := codec.Unmarshal(value.payload, result); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
