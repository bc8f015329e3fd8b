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
	pingInterval         = 500 * time.Millisecond
	livenessTimeout      = 2 * time.Second        // a connection with calls that receives nothing for longer is closed
	silenceTimeout       = 250 * time.Millisecond // after a ping without a response, after which new calls use another connection
	idleTimeout          = 5 * time.Second        // without calls, after which the host that dialed a connection closes it
	acceptedIdleTimeout  = 3 * idleTimeout        // the same for the other host, in case the first one is gone
	writeTimeout         = 2 * time.Second
	outgoingQueueFrames  = 64   // frames of a connection that wait to be written; senders wait while it is full
	responseQueueFrames  = 4    // the same as incomingQueueFrames, for a call with one response
	incomingQueueFrames  = 1024 // received frames that wait to be consumed by one call
	connectionReadBuffer = 2048 // bytes; most frames are shorter
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
	dialed            bool // by this host
	outgoing          chan frame
	done              chan struct{}
	closeOnce         sync.Once
	lastReceivedNanos atomic.Int64
	probedAtNanos     atomic.Int64 // when a ping was sent because a call got no response; zero if a frame was received since
	lastStream        atomic.Uint64

	mutex    sync.Mutex
	calls    map[uint64]chan frame
	serving  map[uint64]context.CancelFunc
	lastUsed time.Time // when the last call ended or the first one began
}

func newConnection(socket net.Conn, clock clockwork.Clock, logger log.Interface, handler Handler, dialed bool) *connection {
	return &connection{
		socket: socket, dialed: dialed, lastUsed: clock.Now(), clock: clock, logger: logger, handler: handler, outgoing: make(chan frame, outgoingQueueFrames), done: make(chan struct{}),
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

// start runs the goroutines that read and write frames.
func (connection *connection) start() {
	connection.lastReceivedNanos.Store(connection.clock.Now().UnixNano())
	go connection.writeFrames()
	go connection.readFrames()
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

// maintain pings the other host while there are calls, and closes the connection if
// it has gone silent, or if it is idle and retired. It reports whether a connection
// that this host has dialed should be retired. The transport calls it at each
// pingInterval.
func (connection *connection) maintain(now time.Time, retired bool) (retire bool) {
	connection.mutex.Lock()
	active := len(connection.calls)+len(connection.serving) > 0
	unused := now.Sub(connection.lastUsed)
	connection.mutex.Unlock()
	silent := now.Sub(time.Unix(0, connection.lastReceivedNanos.Load()))
	switch {
	case active && min(unused, silent) > livenessTimeout, !active && min(unused, silent) > acceptedIdleTimeout, !active && retired && unused >= pingInterval:
		connection.close()
	case active:
		connection.ping()
	default:
		return connection.dialed && unused > idleTimeout
	}
	return false
}

func (connection *connection) ping() {
	select {
	case connection.outgoing <- frame{Kind: kindPing}:
	default:
	}
}

// silent reports whether the other host has not even responded to a ping. It is
// called after a call without a response, and sends the ping the first time.
func (connection *connection) silent() bool {
	now := connection.clock.Now()
	if connection.probedAtNanos.CompareAndSwap(0, now.UnixNano()) {
		connection.ping()
		return false
	}
	return now.Sub(time.Unix(0, connection.probedAtNanos.Load())) >= silenceTimeout
}

func (connection *connection) readFrames() {
	defer connection.close()
	reader := bufio.NewReaderSize(connection.socket, connectionReadBuffer)
	for {
		message, err := readFrame(reader)
		if err != nil {
			return
		}
		connection.lastReceivedNanos.Store(connection.clock.Now().UnixNano())
		connection.probedAtNanos.Store(0)
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
	connection.use()
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
		connection.use()
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
	payload, err := codec.Marshal(argument)
	if err != nil {
		return fmt.Errorf("encode argument of %q: %w", method, err)
	}
	stream := connection.lastStream.Add(1)
	incoming := make(chan frame, queue)
	connection.mutex.Lock()
	connection.use()
	connection.calls[stream] = incoming
	connection.mutex.Unlock()
	defer func() {
		connection.mutex.Lock()
		delete(connection.calls, stream)
		connection.use()
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
				return cancel(fmt.Errorf("call fell %d frames behind: %w", cap(incoming), ErrConnection))
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
