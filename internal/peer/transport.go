package peer

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/memory"
)

// Transport accepts connections from other hosts and dials other hosts on demand. It
// closes the connections that it has dialed when they are idle.
type Transport struct {
	local    hello
	clock    clockwork.Clock
	handler  Handler
	logger   log.Interface
	listener net.Listener
	rejected atomic.Int64
	frames   frameMemory
	greeting chan struct{} // one element for each accepted connection in its handshake

	onDialFailure func(address string, after time.Duration, refused bool)
	maintenance   sync.Once
	done          chan struct{} // closed by Close

	mutex       sync.Mutex
	dialed      map[string]*connection // for new calls, by address
	connections map[*connection]struct{}
	closed      bool
}

const dialTimeout = time.Second

// NewTransport returns a transport for a host. All hosts must have the same
// secret. The handler serves the calls of other hosts.
func NewTransport(host, incarnation, secret string, clock clockwork.Clock, logger log.Interface, handler Handler) *Transport {
	return &Transport{
		local:       hello{Host: host, Incarnation: incarnation, Secret: secret},
		clock:       clock,
		handler:     handler,
		logger:      logger,
		greeting:    make(chan struct{}, maxHandshakes),
		done:        make(chan struct{}),
		dialed:      make(map[string]*connection),
		connections: make(map[*connection]struct{}),
	}
}

func equalSecrets(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// OnDialFailure sets a function that is called when a host could not be connected to.
// It must be set before the first call.
func (transport *Transport) OnDialFailure(failed func(address string, after time.Duration, refused bool)) {
	transport.onDialFailure = failed
}

// SetMemory sets the budget in which the memory for messages between hosts is reserved.
// Without one it has no bound. It must be set before the first call.
func (transport *Transport) SetMemory(budget *memory.Budget) { transport.frames.setBudget(budget) }

// Listen listens on the address and accepts connections in the background.
func (transport *Transport) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for peers on %q: %w", address, err)
	}
	transport.listener = listener
	go transport.accept()
	return nil
}

// Address returns the address that the transport listens on.
func (transport *Transport) Address() string { return transport.listener.Addr().String() }

// Rejected returns the number of accepted connections whose handshake failed.
func (transport *Transport) Rejected() int64 { return transport.rejected.Load() }

func (transport *Transport) accept() {
	for {
		socket, err := transport.listener.Accept()
		if err != nil {
			return
		}
		select {
		case transport.greeting <- struct{}{}:
			go transport.serveConnection(socket)
		default:
			transport.rejected.Add(1)
			socket.Close()
		}
	}
}

func (transport *Transport) serveConnection(socket net.Conn) {
	connection := newConnection(socket, transport, false)
	err := connection.handshake(transport.local)
	<-transport.greeting
	if err != nil {
		transport.rejected.Add(1)
		socket.Close()
		return
	}
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.closed {
		socket.Close()
		return
	}
	transport.start(connection)
}

// start adds a connection and starts it. The caller holds the mutex.
func (transport *Transport) start(connection *connection) {
	transport.connections[connection] = struct{}{}
	connection.start()
	transport.maintenance.Do(func() { go transport.maintain() })
}

// maintain maintains the connections until the transport is closed.
func (transport *Transport) maintain() {
	ticker := transport.clock.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-transport.done:
			return
		case <-ticker.Chan():
		}
		now := transport.clock.Now()
		for connection, address := range transport.openConnections() {
			if connection.maintain(now, connection.dialed && address == "") {
				transport.retire(address, connection)
			}
		}
	}
}

// openConnections returns the connections that are open, with the address whose new
// calls they get, and forgets the others.
func (transport *Transport) openConnections() map[*connection]string {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	open := make(map[*connection]string, len(transport.connections))
	for connection := range transport.connections {
		if connection.alive() {
			open[connection] = ""
		} else {
			delete(transport.connections, connection)
		}
	}
	for address, connection := range transport.dialed {
		if connection.alive() {
			open[connection] = address
		} else {
			delete(transport.dialed, address)
		}
	}
	return open
}

// retire makes new calls to an address use another connection than this one, which
// ends with its calls.
func (transport *Transport) retire(address string, connection *connection) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.dialed[address] == connection {
		delete(transport.dialed, address)
	}
}

// Connect opens a connection to the host at the address, unless there is one.
func (transport *Transport) Connect(ctx context.Context, address string) error {
	_, err := transport.dial(ctx, address)
	return err
}

// Call calls a method on the host at the address and runs onValue for each value
// of the response. The error wraps ErrConnection if the host was unreachable or
// the connection was lost.
func (transport *Transport) Call(ctx context.Context, address, method string, argument any, onValue func(Value) error) error {
	return transport.call(ctx, address, method, argument, incomingQueueFrames, onValue)
}

func (transport *Transport) call(ctx context.Context, address, method string, argument any, queue int, onValue func(Value) error) error {
	connection, err := transport.dial(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnection, err)
	}
	err = connection.call(ctx, method, argument, queue, onValue)
	if errors.Is(err, context.DeadlineExceeded) && connection.silent() {
		transport.retire(address, connection)
	}
	return err
}

// Ask calls a method that responds with exactly one value.
func (transport *Transport) Ask(ctx context.Context, address, method string, argument, response any) error {
	received := false
	err := transport.call(ctx, address, method, argument, responseQueueFrames, func(value Value) error {
		received = true
		return value.Decode(response)
	})
	if err == nil && !received {
		return fmt.Errorf("host at %q gave no answer to %q", address, method)
	}
	return err
}

func (transport *Transport) dial(ctx context.Context, address string) (*connection, error) {
	transport.mutex.Lock()
	existing := transport.dialed[address]
	transport.mutex.Unlock()
	if existing != nil && existing.alive() {
		return existing, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	start := transport.clock.Now()
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if transport.onDialFailure != nil && !errors.Is(ctx.Err(), context.Canceled) {
			transport.onDialFailure(address, transport.clock.Since(start), errors.Is(err, syscall.ECONNREFUSED))
		}
		return nil, err
	}
	established := make(chan dialResult, 1)
	go func() {
		connection, err := transport.establish(address, socket)
		established <- dialResult{connection, err}
	}()
	select {
	case result := <-established:
		return result.connection, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type dialResult struct {
	connection *connection
	err        error
}

// establish makes a connection of a socket that this host has opened. It takes up to
// livenessTimeout if the other host is silent, whatever the time limit of the call: a later
// call can use the connection.
func (transport *Transport) establish(address string, socket net.Conn) (*connection, error) {
	connection := newConnection(socket, transport, true)
	if err := connection.handshake(transport.local); err != nil {
		socket.Close()
		return nil, err
	}
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.closed {
		socket.Close()
		return nil, ErrConnection
	}
	if other := transport.dialed[address]; other != nil && other.alive() {
		socket.Close()
		return other, nil
	}
	transport.dialed[address] = connection
	transport.start(connection)
	return connection, nil
}

// Close closes the listener and all connections.
func (transport *Transport) Close() error {
	transport.mutex.Lock()
	if !transport.closed {
		close(transport.done)
	}
	transport.closed = true
	transport.mutex.Unlock()
	for connection := range transport.openConnections() {
		connection.close()
	}
	if transport.listener == nil {
		return nil
	}
	return transport.listener.Close()
}
