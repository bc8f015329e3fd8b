// Package outbound exchanges requests with targets over kept connections.
package outbound

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	dialTimeout = 300 * time.Millisecond // some hundred times the way; a lost opening packet is sent again only after a second
	mostIdle    = 6                      // connections kept open to one target
	idleLimit   = 4 * time.Second        // for targets that do not say how long they keep a connection
	idleMargin  = 800 * time.Millisecond // given up before the target would close
	maxStray    = 4                      // answers to earlier requests that are passed over on a connection
	readBuffer  = 4 << 10
)

// SendError reports an exchange without an answer. Sent tells whether the
// target may have begun to run the request.
type SendError struct {
	Sent bool
	Err  error
}

// Error implements error.
func (err *SendError) Error() string {
	if err.Sent {
		return "no answer from the target: " + err.Err.Error()
	}
	return "target not reached: " + err.Err.Error()
}

// Unwrap returns the cause.
func (err *SendError) Unwrap() error { return err.Err }

// Pool keeps connections by target.
type Pool struct {
	clock clockwork.Clock

	mutex  sync.Mutex
	idle   map[string][]*conn
	bounds map[string]int // idle connections by target, if fewer than usual
	opened int64
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	key    string
	since  time.Time // idle since
	limit  time.Duration
}

// NewPool returns an empty pool.
func NewPool(clock clockwork.Clock) *Pool {
	return &Pool{clock: clock, idle: make(map[string][]*conn)}
}

// Answer is an answer whose body is read from the connection.
type Answer struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
}

// Opened returns the number of connections opened.
func (pool *Pool) Opened() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.opened
}

// Send writes a request and reads the head of its answer, for which it waits up
// to a limit if there is one. The connection is closed when the context ends.
// Answers for which belongs is false are passed over.
func (pool *Pool) Send(ctx context.Context, id, address, method string, message []byte, limit time.Duration, belongs func(status int, header http.Header) bool) (*Answer, error) {
	connection, err := pool.take(ctx, id, address)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { connection.SetDeadline(time.Unix(1, 0)) })
	fail := func(sent bool, err error) (*Answer, error) {
		stop()
		connection.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: sent, Err: err}
	}
	if written, err := connection.Write(message); err != nil {
		return fail(written > 0, err)
	}
	if err := pool.limitRead(ctx, connection, limit); err != nil {
		return fail(true, err)
	}
	for stray := 0; stray <= maxStray; stray++ {
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
		if err != nil {
			return fail(true, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if belongs(response.StatusCode, response.Header) {
			if err := pool.limitRead(ctx, connection, 0); err != nil {
				return fail(true, err)
			}
			return &Answer{Response: response, pool: pool, conn: connection, stop: stop}, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return fail(true, err)
		}
	}
	return fail(true, errors.New("only answers to other requests came"))
}

// limitRead bounds the wait for the next bytes, or ends the bound. The end of
// the context may have set a deadline meanwhile, which must stay.
func (pool *Pool) limitRead(ctx context.Context, connection *conn, limit time.Duration) error {
	var deadline time.Time
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	if err := connection.SetReadDeadline(deadline); err != nil {
		return err
	}
	return ctx.Err()
}

// Listens reports whether a target accepts connections.
func (pool *Pool) Listens(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	socket.Close()
	return true
}

// Finish gives the connection back after the whole body has been read.
func (answer *Answer) Finish() {
	if !answer.stop() || answer.Close || answer.ContentLength < 0 && !chunked(answer.Response) {
		answer.conn.Close()
		return
	}
	answer.conn.limit = keepAlive(answer.Header)
	answer.pool.put(answer.conn)
}

func chunked(response *http.Response) bool {
	return len(response.TransferEncoding) == 1 && response.TransferEncoding[0] == "chunked"
}

// Abort closes the connection; the target stops its work.
func (answer *Answer) Abort() {
	answer.stop()
	answer.conn.Close()
}

// SetReadLimit bounds the wait for the next bytes of the body.
func (answer *Answer) SetReadLimit(ctx context.Context, wait time.Duration) error {
	return answer.pool.limitRead(ctx, answer.conn, wait)
}

// keepAlive returns how long an idle connection may be used again.
func keepAlive(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if count, err := strconv.Atoi(value); err == nil {
				return time.Duration(count)*time.Second - idleMargin
			}
		}
	}
	return idleLimit
}

func (pool *Pool) take(ctx context.Context, id, address string) (*conn, error) {
	key := id + "@" + address
	for {
		connection := pool.pop(key)
		if connection == nil {
			break
		}
		if pool.clock.Since(connection.since) < connection.limit && quiet(connection) {
			return connection, nil
		}
		connection.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to target %q: %w", id, err)
	}
	pool.mutex.Lock()
	pool.opened++
	pool.mutex.Unlock()
	return &conn{Conn: socket, reader: bufio.NewReaderSize(socket, readBuffer), key: key}, nil
}

func (pool *Pool) pop(key string) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[key]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	pool.idle[key] = list[:len(list)-1]
	return last
}

func (pool *Pool) put(connection *conn) {
	if connection.reader.Buffered() > 0 || connection.limit <= 0 {
		connection.Close()
		return
	}
	if err := connection.SetDeadline(time.Time{}); err != nil {
		connection.Close()
		return
	}
	connection.since = pool.clock.Now()
	pool.mutex.Lock()
	list := pool.idle[connection.key]
	var oldest *conn
	if len(list) >= pool.boundOf(connection.key) {
		oldest, list = list[0], list[1:]
	}
	pool.idle[connection.key] = append(list, connection)
	pool.mutex.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// boundOf returns how many idle connections are kept. The pool is locked.
func (pool *Pool) boundOf(key string) int {
	id, _, _ := strings.Cut(key, "@")
	if bound, ok := pool.bounds[id]; ok {
		return min(max(1, bound), mostIdle)
	}
	return mostIdle
}

// Bound limits the idle connections to each target, so that all hosts together
// leave the target room for busy ones.
func (pool *Pool) Bound(bounds map[string]int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.bounds = bounds
}

// Forget closes the idle connections to targets for which keep is false, and
// those idle for too long.
func (pool *Pool) Forget(keep func(id string) bool) {
	pool.mutex.Lock()
	var closing []*conn
	now := pool.clock.Now()
	for key, list := range pool.idle {
		id, _, _ := strings.Cut(key, "@")
		kept := list[:0]
		for _, each := range list {
			if keep(id) && now.Sub(each.since) < each.limit {
				kept = append(kept, each)
			} else {
				closing = append(closing, each)
			}
		}
		if len(kept) == 0 {
			delete(pool.idle, key)
		} else {
			pool.idle[key] = kept
		}
	}
	pool.mutex.Unlock()
	for _, each := range closing {
		each.Close()
	}
}

// quiet reports whether an idle connection is open and has sent nothing.
func quiet(connection *conn) bool {
	socket, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}
