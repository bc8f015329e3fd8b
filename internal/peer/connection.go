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

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/codec"
)

// ErrConnection is wrapped by the errors of calls whose connection could not be
// established or was lost.
var ErrConnection = errors.New("peer connection lost")

const (
	pingInterval         = 500 * time.Millisecond
	livenessTimeout      = 2 * time.Second        // a connection with calls that receives nothing for longer is closed
	silenceTimeout       = 250 * time.Millisecond // after a ping without a response, after which new calls use another connection
	idleTimeout          = 5 * time.Second        // without calls, after which the host that dialed a connection closes it
	acceptedIdleTimeout  = 3 * idleTimeout        // the same for the other host, in case the first one is gone
	writeTimeout         = 2 * time.Second
	maxHandshakes        = 64   // accepted connections at a time that have not presented the secret
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
	reader            frameReader
	local             string // name of this host
	frames            *frameMemory
	clock             clockwork.Clock
	logger            log.Interface
	handler           Handler
	remote            hello
	dialed            bool // by this host
	outgoing          chan frame
	done              chan struct{}
	closeOnce         sync.Once
	created           time.Time // the times below count from it, because Unix times follow jumps of the wall clock
	lastReceivedNanos atomic.Int64
	probedAtNanos     atomic.Int64 // when a ping was sent because a call got no response; zero if a frame was received since
	lastStream        atomic.Uint64

	mutex    sync.Mutex
	calls    map[uint64]chan *frame
	serving  map[uint64]context.CancelFunc
	lastUsed time.Time // when the last call ended or the first one began

	// When the goroutine that reads has last begun to wait for memory, and for how long
	// it has waited in the patienceWindow since. Only that goroutine uses them.
	waitWindow time.Time
	waited     time.Duration
}

func newConnection(socket net.Conn, transport *Transport, dialed bool) *connection {
	now := transport.clock.Now()
	return &connection{
		socket: socket, reader: frameReader{reader: bufio.NewReaderSize(socket, connectionReadBuffer)}, local: transport.local.Host, frames: &transport.frames,
		dialed: dialed, created: now, lastUsed: now, clock: transport.clock, logger: transport.logger, handler: transport.handler,
		done:  make(chan struct{}),
		calls: make(map[uint64]chan *frame), serving: make(map[uint64]context.CancelFunc),
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
	received, err := readFrame(&connection.reader, maxGreetingBytes, admitAll)
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
	connection.outgoing = make(chan frame, outgoingQueueFrames) // not while the other host has not presented the secret
	connection.lastReceivedNanos.Store(connection.nanosAt(connection.clock.Now()))
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

// nanosAt returns the nanoseconds from the creation of the connection to a time.
func (connection *connection) nanosAt(at time.Time) int64 { return int64(at.Sub(connection.created)) }

func (connection *connection) alive() bool {
	select {
	case <-connection.done:
		return false
	default:
		return true
	}
}

// send queues a frame, which it owns. It fails if the connection is closed or the
// context ends.
func (connection *connection) send(ctx context.Context, message frame) error {
	select {
	case connection.outgoing <- message:
		if !connection.alive() {
			connection.drain() // nothing else does if it was queued after the end of writeFrames
		}
		return nil
	case <-connection.done:
		message.held.release()
		return ErrConnection
	case <-ctx.Done():
		message.held.release()
		return ctx.Err()
	}
}

// drain releases the frames that wait to be written on a closed connection.
func (connection *connection) drain() {
	for {
		select {
		case message := <-connection.outgoing:
			message.held.release()
		default:
			return
		}
	}
}

// writeFrames writes the queued frames until the connection is closed.
func (connection *connection) writeFrames() {
	defer connection.drain()
	defer connection.close()
	writer := bufio.NewWriter(connection.socket)
	for {
		select {
		case <-connection.done:
			return
		case message := <-connection.outgoing:
			err := connection.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err == nil {
				err = writeFrame(writer, message)
			}
			message.held.release()
			if err != nil {
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
	silent := time.Duration(connection.nanosAt(now) - connection.lastReceivedNanos.Load())
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
	now := max(1, connection.nanosAt(connection.clock.Now()))
	if connection.probedAtNanos.CompareAndSwap(0, now) {
		connection.ping()
		return false
	}
	probedAt := connection.probedAtNanos.Load()
	return probedAt > 0 && time.Duration(now-probedAt) >= silenceTimeout
}

func (connection *connection) readFrames() {
	defer connection.close()
	for {
		message, err := readFrame(&connection.reader, maxFrameBytes, connection.admit)
		if err != nil {
			return
		}
		connection.lastReceivedNanos.Store(connection.nanosAt(connection.clock.Now()))
		connection.probedAtNanos.Store(0)
		connection.handleFrame(message)
	}
}

// handleFrame acts on a frame, which it owns.
func (connection *connection) handleFrame(message frame) {
	switch message.Kind {
	case kindRequest:
		if message.failure != nil {
			connection.refuse(message)
			return
		}
		connection.serve(message)
	case kindCancel:
		connection.mutex.Lock()
		cancel := connection.serving[message.Stream]
		connection.mutex.Unlock()
		if cancel != nil {
			cancel()
		}
	case kindData:
		connection.deliver(&message)
	case kindEnd:
		message.failure = nil // of a payload, which it has not
		connection.deliver(&message)
	case kindPing:
		select {
		case connection.outgoing <- frame{Kind: kindPong}:
		default:
		}
	}
}
