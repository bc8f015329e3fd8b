package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
	"github.com/godwitspread/godwitspread/internal/refusal"
)

// ErrConnection marks calls that failed because their connection did.
var ErrConnection = errors.New("peer connection lost")

// Request is a call from another host.
type Request struct {
	Method  string
	Host    string
	payload codec.Raw
}

// Decode unpacks the argument of the call.
func (request Request) Decode(argument any) error {
	if err := codec.Unmarshal(request.payload, argument); err != nil {
		return fmt.Errorf("decode argument of %q from host %q: %w", request.Method, request.Host, err)
	}
	return nil
}

// Handler serves a call. Each value given to send reaches the caller in order;
// the returned error ends the call.
type Handler func(ctx context.Context, request Request, send func(value any) error) error

const (
	heartbeatInterval = 500 * time.Millisecond
	silenceLimit      = 2 * time.Second // a connection silent for longer is lost
	writeTimeout      = 2 * time.Second
	outgoingFrames    = 1024 // frames waiting to be written on a connection
	incomingFrames    = 1024 // frames waiting to be taken by one call
)

// connection multiplexes calls in both directions over one socket.
type connection struct {
	socket   net.Conn
	clock    clockwork.Clock
	handler  Handler
	remote   hello
	outgoing chan frame
	done     chan struct{}
	once     sync.Once
	heard    atomic.Int64
	next     atomic.Uint64

	mutex   sync.Mutex
	calls   map[uint64]chan frame
	serving map[uint64]context.CancelFunc
}

func newConnection(socket net.Conn, clock clockwork.Clock, handler Handler) *connection {
	return &connection{
		socket: socket, clock: clock, handler: handler, outgoing: make(chan frame, outgoingFrames), done: make(chan struct{}),
		calls: make(map[uint64]chan frame), serving: make(map[uint64]context.CancelFunc),
	}
}

// handshake exchanges greetings and checks the shared secret.
func (connection *connection) handshake(own hello) error {
	// Deadlines of sockets are in real time, whatever the clock.
	if err := connection.socket.SetDeadline(time.Now().Add(silenceLimit)); err != nil {
		return err
	}
	payload, err := codec.Marshal(own)
	if err != nil {
		return err
	}
	if err := writeFrame(connection.socket, frame{Kind: kindHello, Payload: payload}); err != nil {
		return err
	}
	greeting, err := readFrame(connection.socket)
	if err != nil {
		return fmt.Errorf("read greeting: %w", err)
	}
	if greeting.Kind != kindHello {
		return fmt.Errorf("first frame has kind %d, expected a greeting", greeting.Kind)
	}
	if err := codec.Unmarshal(greeting.Payload, &connection.remote); err != nil {
		return fmt.Errorf("decode greeting: %w", err)
	}
	if !equalSecrets(connection.remote.Secret, own.Secret) {
		return fmt.Errorf("host %q presented a wrong peer secret", connection.remote.Host)
	}
	return connection.socket.SetDeadline(time.Time{})
}

// start runs the duties of the connection.
func (connection *connection) start() {
	connection.heard.Store(connection.clock.Now().UnixNano())
	go connection.write()
	go connection.read()
	go connection.beat()
}

// close ends the connection and every call on it.
func (connection *connection) close() {
	connection.once.Do(func() {
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

// send queues a frame. It fails once the connection is closed.
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

func (connection *connection) write() {
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

func (connection *connection) beat() {
	ticker := connection.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-connection.done:
			return
		case <-ticker.Chan():
			if connection.clock.Since(time.Unix(0, connection.heard.Load())) > silenceLimit {
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

func (connection *connection) read() {
	defer connection.close()
	reader := bufio.NewReader(connection.socket)
	for {
		message, err := readFrame(reader)
		if err != nil {
			return
		}
		connection.heard.Store(connection.clock.Now().UnixNano())
		connection.take(message)
	}
}

func (connection *connection) take(message frame) {
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

// deliver hands a frame to its call. A call that does not keep up is ended,
// so that it never holds up the others.
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
		if err := connection.handler(ctx, request, connection.sender(ctx, message.Stream)); err != nil {
			end.Refusal = refusal.From(err)
		}
		connection.mutex.Lock()
		delete(connection.serving, message.Stream)
		connection.mutex.Unlock()
		// The connection may be gone; its calls have failed then.
		_ = connection.send(context.Background(), end)
	}()
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

// call runs one call and hands each value of its answer to each.
func (connection *connection) call(ctx context.Context, method string, argument any, each func(Value) error) error {
	payload, err := codec.Marshal(argument)
	if err != nil {
		return fmt.Errorf("encode argument of %q: %w", method, err)
	}
	stream := connection.next.Add(1)
	incoming := make(chan frame, incomingFrames)
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
	return connection.receive(ctx, stream, incoming, each)
}

func (connection *connection) receive(ctx context.Context, stream uint64, incoming chan frame, each func(Value) error) error {
	cancel := func(err error) error {
		// A lost connection cancels its calls by itself.
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
				return cancel(fmt.Errorf("call fell %d frames behind: %w", incomingFrames, ErrConnection))
			}
			if message.Kind == kindEnd {
				if message.Refusal != nil {
					return message.Refusal
				}
				return nil
			}
			if err := each(Value{payload: message.Payload}); err != nil {
				return cancel(err)
			}
		}
	}
}

// Value is one part of an answer.
type Value struct{ payload codec.Raw }

// Decode unpacks the value.
func (value Value) Decode(target any) error {
	if err := codec.Unmarshal(value.payload, target); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
