package outbound

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/memory"
)

// ErrNotSent is returned by an exchange through another host if the target has not
// received the request.
var ErrNotSent = errors.New("no other host could send the request")

// ErrRefused is returned, with ErrNotSent, if the target refuses connections.
var ErrRefused = errors.New("target refuses connections")

// ErrRelayed is the error of an exchange that has failed between this host and another one,
// or at the other one.
var ErrRelayed = errors.New("exchange through another host failed")

// Relay sends requests to targets through other hosts.
type Relay interface {
	// Available reports whether another host reaches targets.
	Available() bool
	// Exchange sends a request through another host, which connects to the target
	// itself. It calls receive without bytes when that host is connected, and then
	// with what the target sends. It returns nil when the target has closed the
	// connection, and an error that wraps ErrNotSent if the request was not sent. If the
	// context ends before the other host is connected, it finds out whether the request
	// was sent, within RevocationTimeout.
	Exchange(ctx context.Context, request ExchangeRequest, receive func([]byte) error) error
}

// ExchangeRequest asks another host to send a request to a target.
type ExchangeRequest struct {
	Target  string `msgpack:"t"`           // ID of the target
	Message []byte `msgpack:"m"`           // empty to find out whether the target accepts connections
	ID      string `msgpack:"i,omitempty"` // by which the request can be revoked; random
}

// Refusal is the reason for which a host does not send another host's request.
type Refusal uint8

// Reasons of a host.
const (
	Accepted          Refusal = iota
	HostUnable                // the host reaches no targets itself, does not know this one, or is busy
	TargetUnreachable         // the target does not respond
	TargetRefuses             // the target refuses connections
)

// ExchangeChunk is a part of the response to an ExchangeRequest. The first one tells
// whether the host is connected to the target.
type ExchangeChunk struct {
	Refusal Refusal `msgpack:"r,omitempty"`
	Data    []byte  `msgpack:"d,omitempty"`
}

const (
	// relayConnectTimeout limits the wait until another host is connected to the
	// target: longer than its own timeout for connecting.
	relayConnectTimeout = dialTimeout + 200*time.Millisecond
	// RevocationTimeout limits the wait for another host to say that it has not sent a
	// request and will not.
	RevocationTimeout = 200 * time.Millisecond
	maxRelayed        = 256     // exchanges for other hosts at a time
	maxRelayedMessage = 8 << 20 // half of the largest message between hosts
	relayBufferSize   = 16 << 10
	scannedHeadBytes  = 2 * relayBufferSize // of the beginning of a response, in which its head is searched
)

// relayedConn is a connection to a target through another host. It carries one
// request, which must be written at once.
type relayedConn struct {
	net.Conn          // end that the pool reads from
	remote   net.Conn // end that the response is written to
	relay    Relay
	target   string
	ctx      context.Context
	cancel   context.CancelFunc

	mutex   sync.Mutex
	failure error // of the exchange
}

// newRelayedConn returns a connection that ends with the context.
func newRelayedConn(ctx context.Context, relay Relay, target string) *relayedConn {
	local, remote := net.Pipe()
	connection := &relayedConn{Conn: local, remote: remote, relay: relay, target: target}
	connection.ctx, connection.cancel = context.WithCancel(ctx)
	return connection
}

// Write sends the request and waits until the other host is connected to the target.
// It returns 0 bytes if the target has not received the request.
func (connection *relayedConn) Write(message []byte) (int, error) {
	if len(message) > maxRelayedMessage {
		return 0, fmt.Errorf("request of %d bytes is over the limit of %d: %w", len(message), maxRelayedMessage, ErrNotSent)
	}
	connected := make(chan error, 2)
	go func() {
		err := connection.relay.Exchange(connection.ctx, ExchangeRequest{Target: connection.target, Message: message, ID: rand.Text()}, func(data []byte) error {
			if len(data) == 0 {
				connected <- nil
				return nil
			}
			_, err := connection.remote.Write(data)
			return err
		})
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrRelayed, err)
		}
		connection.mutex.Lock()
		connection.failure = err
		connection.mutex.Unlock()
		connected <- err
		connection.remote.Close()
	}()
	timer := time.NewTimer(relayConnectTimeout)
	defer timer.Stop()
	select {
	case err := <-connected:
		if errors.Is(err, ErrNotSent) {
			return 0, err
		}
		return len(message), err
	case <-timer.C:
	}
	connection.cancel()
	timer.Reset(RevocationTimeout + maxLag)
	select {
	case err := <-connected:
		if errors.Is(err, ErrNotSent) {
			return 0, err
		}
	case <-timer.C:
	}
	return len(message), fmt.Errorf("%w: other host not connected to target %q after %v", ErrRelayed, connection.target, relayConnectTimeout)
}

// Read implements net.Conn. It returns io.EOF only if the target has closed its
// connection.
func (connection *relayedConn) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		connection.mutex.Lock()
		defer connection.mutex.Unlock()
		if connection.failure != nil {
			return count, connection.failure
		}
	}
	return count, err
}

// SetDeadline implements net.Conn.
func (connection *relayedConn) SetDeadline(deadline time.Time) error {
	return ignoreClosedPipe(connection.Conn.SetDeadline(deadline))
}

// SetReadDeadline implements net.Conn.
func (connection *relayedConn) SetReadDeadline(deadline time.Time) error {
	return ignoreClosedPipe(connection.Conn.SetReadDeadline(deadline))
}

// ignoreClosedPipe ignores that an end of a pipe is closed when a deadline is set: what
// was sent before can still be read, and reads do not wait any more.
func ignoreClosedPipe(err error) error {
	if errors.Is(err, io.ErrClosedPipe) {
		return nil
	}
	return err
}

// Close ends the exchange, which makes the target stop its work.
func (connection *relayedConn) Close() error {
	connection.cancel()
	return errors.Join(connection.Conn.Close(), connection.remote.Close())
}

// ServeExchange sends a request of another host to a target with an address, and
// passes on what it sends until it closes the connection or the context ends. It
// calls observe with the head of each response, and never uses a relay itself.
func (pool *Pool) ServeExchange(ctx context.Context, request ExchangeRequest, address string, observe func(status int, header http.Header), send func(ExchangeChunk) error) error {
	if pool.relayed.Add(1) > maxRelayed || pool.Lost() {
		pool.relayed.Add(-1)
		return send(ExchangeChunk{Refusal: HostUnable})
	}
	defer pool.relayed.Add(-1)
	reserved, err := pool.memory.ReserveOverhead(relayBufferSize + scannedHeadBytes)
	if err != nil {
		return send(ExchangeChunk{Refusal: HostUnable})
	}
	defer reserved.Release()
	began := hostclock.Uptime(pool.clock)
	connection, err := pool.connect(ctx, request.Target, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return send(ExchangeChunk{Refusal: TargetRefuses})
	}
	if err != nil {
		return send(ExchangeChunk{Refusal: TargetUnreachable})
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { connection.Close() })()
	// A host that was suspended may have forgotten a revocation.
	if request.ID != "" && (hostclock.Uptime(pool.clock)-began >= RevocationWindow || !pool.exchanges.claim(request.ID)) {
		return send(ExchangeChunk{Refusal: HostUnable})
	}
	if err := send(ExchangeChunk{}); err != nil || len(request.Message) == 0 {
		return err
	}
	if _, err := connection.Write(request.Message); err != nil {
		return err
	}
	buffer := make([]byte, relayBufferSize)
	heads := headScanner{observe: observe, memory: reserved}
	for {
		count, err := connection.Read(buffer)
		if count > 0 {
			pool.reachability.heard()
			heads.scan(buffer[:count])
			if err := send(ExchangeChunk{Data: buffer[:count]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// headScanner finds the heads at the beginning of what a target sends: those of
// informational responses, and that of the response.
type headScanner struct {
	observe func(status int, header http.Header)
	memory  *memory.Reservation // which covers scannedHeadBytes
	pending []byte
	done    bool
}

// scan reads the next bytes. It gives up on a head that is too large or malformed, which
// the other host rejects, and on a large one for which there is no memory.
func (scanner *headScanner) scan(data []byte) {
	if scanner.done {
		return
	}
	const headEnd = "\r\n\r\n"
	searched := max(0, len(scanner.pending)-len(headEnd)+1)
	scanner.pending = append(scanner.pending, data...)
	if len(scanner.pending) > scannedHeadBytes && scanner.memory.Grow(int64(len(data))) != nil {
		scanner.done, scanner.pending = true, nil
		return
	}
	for !scanner.done {
		found := bytes.Index(scanner.pending[searched:], []byte(headEnd))
		if found < 0 {
			scanner.done = len(scanner.pending) > maxHeadBytes
			break
		}
		head := scanner.pending[:searched+found+len(headEnd)]
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err == nil {
			err = checkStatus(response)
		}
		if err == nil {
			scanner.observe(response.StatusCode, response.Header)
		}
		scanner.done = err != nil || response.StatusCode >= http.StatusOK
		scanner.pending, searched = scanner.pending[len(head):], 0
	}
	if scanner.done {
		scanner.pending = nil
	}
}

// Relayed returns the number of exchanges in progress for other hosts.
func (pool *Pool) Relayed() int64 { return pool.relayed.Load() }
