package peer

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

// Transport accepts connections from other hosts and dials other hosts on demand.
type Transport struct {
	local    hello
	clock    clockwork.Clock
	handler  Handler
	logger   log.Interface
	listener net.Listener
	rejected atomic.Int64

	mutex    sync.Mutex
	dialed   map[string]*connection
	accepted map[*connection]struct{}
	closed   bool
}

const dialTimeout = time.Second

// NewTransport returns a transport for a host. All hosts must have the same
// secret. The handler serves the calls of other hosts.
func NewTransport(host, incarnation, secret string, clock clockwork.Clock, logger log.Interface, handler Handler) *Transport {
	return &Transport{
		local:    hello{Host: host, Incarnation: incarnation, Secret: secret},
		clock:    clock,
		handler:  handler,
		logger:   logger,
		dialed:   make(map[string]*connection),
		accepted: make(map[*connection]struct{}),
	}
}

func equalSecrets(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

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
		go transport.serveConnection(socket)
	}
}

func (transport *Transport) serveConnection(socket net.Conn) {
	connection := newConnection(socket, transport.clock, transport.logger, transport.handler)
	if err := connection.handshake(transport.local); err != nil {
		transport.rejected.Add(1)
		socket.Close()
		return
	}
	transport.mutex.Lock()
	if transport.closed {
		transport.mutex.Unlock()
		socket.Close()
		return
	}
	transport.accepted[connection] = struct{}{}
	transport.mutex.Unlock()
	connection.start()
	<-connection.done
	transport.mutex.Lock()
	delete(transport.accepted, connection)
	transport.mutex.Unlock()
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
	connection, err := transport.dial(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrConnection, err)
	}
	return connection.call(ctx, method, argument, onValue)
}

// Ask calls a method that responds with exactly one value.
func (transport *Transport) Ask(ctx context.Context, address, method string, argument, response any) error {
	received := false
	err := transport.Call(ctx, address, method, argument, func(value Value) error {
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
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	connection := newConnection(socket, transport.clock, transport.logger, transport.handler)
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
	connection.start()
	return connection, nil
}

// Close closes the listener and all connections.
func (transport *Transport) Close() error {
	transport.mutex.Lock()
	transport.closed = true
	connections := make([]*connection, 0, len(transport.dialed)+len(transport.accepted))
	for _, connection := range transport.dialed {
		connections = append(connections, connection)
	}
	for connection := range transport.accepted {
		connections = append(connections, connection)
	}
	transport.mutex.Unlock()
	for _, connection := range connections {
		connection.close()
	}
	if transport.listener == nil {
		return nil
	}
	return transport.listener.Close()
}
