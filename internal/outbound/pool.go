// Package outbound sends requests to targets over pooled keep-alive connections.
package outbound

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/memory"
)

const (
	dialTimeout        = 300 * time.Millisecond // several hundred times the network latency; a lost SYN is retransmitted only after 1 s
	maxIdlePerTarget   = 6                      // idle connections to one target
	defaultIdleTimeout = 4 * time.Second        // for targets that announce no keep-alive timeout
	idleTimeoutMargin  = 800 * time.Millisecond // connections are dropped before the target closes them
	maxStaleResponses  = 4                      // responses to earlier requests that are skipped on a connection
	readBufferSize     = 4 << 10
	maxHeadBytes       = 64 << 10               // size limit of the head of a response, including what is buffered of its body
	maxDiscardBytes    = 64 << 10               // size limit of a body that nobody needs; reading more costs more than a new connection
	discardTimeout     = 100 * time.Millisecond // for the same
	readyTimeout       = 10 * time.Millisecond  // to read what has arrived already
)

// SendError reports that a target returned no complete response. Sent is true if the
// target may have started to run the request.
type SendError struct {
	Sent bool
	Err  error
}

// Error returns the cause and whether the request was sent.
func (err *SendError) Error() string {
	if err.Sent {
		return "no response from the target: " + err.Err.Error()
	}
	return "target unreachable: " + err.Err.Error()
}

// Unwrap returns the cause.
func (err *SendError) Unwrap() error { return err.Err }

// DialFunc connects to the address of a target.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool is a pool of idle connections, by target. It is safe for concurrent use.
type Pool struct {
	clock          clockwork.Clock
	reachability   *reachability
	dial           DialFunc
	observeConnect func(id string, elapsed time.Duration) // nil if nobody asks
	relay          Relay                                  // nil if there are no other hosts
	memory         *memory.Budget
	relayed        atomic.Int64 // exchanges in progress for other hosts
	exchanges      *exchangeLog // of other hosts

	mutex      sync.Mutex
	idle       map[string][]*conn // by target ID and address, oldest first
	idleLimits map[string]int     // idle connections by target ID, if fewer than the default
	opened     int64
}

// NewPool returns an empty pool.
func NewPool(clock clockwork.Clock) *Pool {
	return &Pool{clock: clock, reachability: newReachability(clock), exchanges: newExchangeLog(clock), dial: dialTCP, idle: make(map[string][]*conn)}
}

// SetDial replaces the function that connects to targets. It must be called before
// the first request.
func (pool *Pool) SetDial(dial DialFunc) { pool.dial = dial }

// SetObserveConnect sets a function that gets the time to connect to a target, which is a
// round trip of the network. It must be called before the first request.
func (pool *Pool) SetObserveConnect(observe func(id string, elapsed time.Duration)) {
	pool.observeConnect = observe
}

// SetRelay sets the path to targets through other hosts. It must be called before
// the first request.
func (pool *Pool) SetRelay(relay Relay) { pool.relay = relay }

// SetMemory sets the budget of memory for exchanges of other hosts. It must be called
// before the first one.
func (pool *Pool) SetMemory(budget *memory.Budget) { pool.memory = budget }

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Response is a response whose body is read from its connection. The caller must
// call Release or Abort.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool // detaches the connection from the context
}

// Opened returns the number of connections that the pool has opened.
func (pool *Pool) Opened() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened
}

// Patience limits the wait for a response to begin.
type Patience struct {
	Timeout time.Duration // 0 for no limit
	// GiveUp is called at each end of the timeout. If it returns false, the wait goes on
	// for another one. A response that has arrived when it returns true is read all the
	// same. Nil stands for a function that returns true.
	GiveUp func() bool
}

// Send writes a request and reads the head of its response, for which it waits as long as
// its patience lasts. The end of the context interrupts the exchange.
// Send skips stale responses, those for which matches returns false; on a reused
// connection, the response to an earlier request may arrive first. A connection with a
// stale response counts as reused, and carries no further request.
func (pool *Pool) Send(ctx context.Context, id, address, method string, message Message, patience Patience, matches func(status int, header http.Header, reused bool) bool) (*Response, error) {
	connection, err := pool.acquire(ctx, id, address)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	connection.begin()
	stop := context.AfterFunc(ctx, func() { connection.SetDeadline(time.Unix(1, 0)) })
	fail := func(sent bool, err error) (*Response, error) {
		stop()
		connection.end()
		connection.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: sent, Err: err}
	}
	if sent, err := connection.send(message); err != nil {
		return fail(sent, err)
	}
	message.Memory.Accept()
	if err := pool.setReadTimeout(ctx, connection, patience.Timeout); err != nil {
		return fail(true, err)
	}
	for stale := 0; stale <= maxStaleResponses; stale++ {
		if err := pool.awaitHead(ctx, connection, patience); err != nil {
			return fail(true, err)
		}
		response, err := connection.readHead(method)
		if err != nil {
			return fail(true, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if matches(response.StatusCode, response.Header, connection.reused || connection.stale) {
			if err := pool.setReadTimeout(ctx, connection, 0); err != nil {
				return fail(true, err)
			}
			return &Response{Response: response, pool: pool, conn: connection, stop: stop}, nil
		}
		connection.stale = true
		if err := discard(response.Body); err != nil {
			return fail(true, err)
		}
	}
	return fail(true, errors.New("connection delivered only stale responses"))
}

// awaitHead waits for the first byte of a response. The read timeout has been set.
func (pool *Pool) awaitHead(ctx context.Context, connection *conn, patience Patience) error {
	connection.beginHead()
	_, err := connection.reader.Peek(1)
	if err == nil || !isTimeout(err) || ctx.Err() != nil {
		return err
	}
	for {
		// The response may have arrived while this host did not get the processor.
		if err := pool.setReadTimeout(ctx, connection, readyTimeout); err != nil {
			return err
		}
		_, err = connection.reader.Peek(1)
		if isTimeout(err) && ctx.Err() == nil {
			if patience.GiveUp == nil {
				return err
			}
			rest, givenUp := patience.Timeout, patience.GiveUp()
			if givenUp {
				rest = readyTimeout // the decision may have taken long
			}
			if err := pool.setReadTimeout(ctx, connection, rest); err != nil {
				return err
			}
			if _, err = connection.reader.Peek(1); givenUp && err != nil {
				return err
			}
		}
		if err == nil {
			return pool.setReadTimeout(ctx, connection, patience.Timeout)
		}
		if !isTimeout(err) || ctx.Err() != nil {
			return err
		}
	}
}

// discard reads a body that nobody needs.
func discard(body io.Reader) error {
	count, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	if err == nil && count == maxDiscardBytes {
		err = fmt.Errorf("unneeded body has %d bytes or more", maxDiscardBytes)
	}
	return err
}

// setReadTimeout limits the wait for the next bytes; 0 removes the limit. The end
// of the context may have set a deadline that this call overwrites, so it
// returns the error of the context.
func (pool *Pool) setReadTimeout(ctx context.Context, connection *conn, timeout time.Duration) error {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := connection.SetReadDeadline(deadline); err != nil {
		return err
	}
	return ctx.Err()
}

// Refuses reports whether a target refuses connections, because its process has
// ended. A target that does not respond may only be cut off.
func (pool *Pool) Refuses(ctx context.Context, address string) bool {
	opened, err := pool.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	opened.Close()
	return false
}

// Release returns the connection to the pool, or closes it if it cannot be
// reused. The caller must have read the whole body.
func (response *Response) Release() {
	response.conn.end()
	if !response.stop() || response.Close || response.conn.relayed || response.conn.stale || response.ContentLength < 0 && !chunked(response.Response) {
		response.conn.Close()
		return
	}
	response.conn.reused = true
	response.conn.idleTimeout = keepAliveTimeout(response.Header)
	response.pool.release(response.conn)
}

// chunked reports whether the body has the chunked encoding.
func chunked(response *http.Response) bool {
	return len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
}

// Abort closes the connection, which makes the target stop its work.
func (response *Response) Abort() {
	response.conn.end()
	response.stop()
	response.conn.Close()
}

// Discard returns the connection to the pool if the rest of the body is short, and
// closes it otherwise.
func (response *Response) Discard(ctx context.Context) {
	if err := response.SetReadTimeout(ctx, discardTimeout); err != nil {
		response.Abort()
		return
	}
	if err := discard(response.Body); err != nil {
		response.Abort()
		return
	}
	response.Release()
}

// SetReadTimeout limits the wait for the next bytes of the body.
func (response *Response) SetReadTimeout(ctx context.Context, timeout time.Duration) error {
	return response.pool.setReadTimeout(ctx, response.conn, timeout)
}

// keepAliveTimeout returns how long an idle connection may be reused, according
// to the Keep-Alive header of a response.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds)*time.Second - idleTimeoutMargin
			}
		}
	}
	return defaultIdleTimeout
}
