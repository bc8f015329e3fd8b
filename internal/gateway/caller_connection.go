package gateway

import (
	"net"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/socket"
)

// callerConnection is a connection of a caller that can be closed between two
// requests without cutting off the next one.
type callerConnection struct {
	net.Conn
	acceptedAt time.Time

	mutex       sync.Mutex
	reserved    *memory.Reservation // of the connection and the head that it receives
	headBytes   int                 // received of the head of a request
	handling    bool                // the head was received, and its request is not answered yet
	respondedAt time.Time
	served      bool // a response was sent
	reading     bool // bytes of a request have arrived that is not answered yet
}

const (
	connectionMemory = 16 << 10 // of an idle connection: the buffers, stack and state of the HTTP server, in bytes
	bufferedHead     = 4 << 10  // bytes of a head that are part of it
	// exhaustedWriteTimeout replaces the deadline of the previous response.
	exhaustedWriteTimeout = 200 * time.Millisecond
	// exhaustedResponse is the response to a request whose head there is no memory for.
	exhaustedResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Read implements net.Conn.
func (connection *callerConnection) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	if count > 0 {
		if err := connection.received(count); err != nil {
			_ = connection.Conn.SetWriteDeadline(time.Now().Add(exhaustedWriteTimeout))
			// The connection is closed, whether the caller gets the response or not.
			_, _ = connection.Conn.Write([]byte(exhaustedResponse))
			// The HTTP server closes the connection without a response of its own.
			return 0, &net.OpError{Op: "read", Err: err}
		}
	}
	return count, err
}

// received records bytes from the caller, and reserves memory for a head that is larger
// than usual: its lines are held as received and as decoded.
func (connection *callerConnection) received(count int) error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.reading = true
	if connection.handling {
		return nil
	}
	if connection.headBytes += count; connection.headBytes <= bufferedHead {
		return nil
	}
	return connection.reserved.Grow(2 * int64(count))
}

// headReceived records that a request has reached its handler, which reserves the memory
// that it needs.
func (connection *callerConnection) headReceived() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	// The head may have come together with the request before it.
	connection.reading, connection.handling, connection.headBytes = true, true, 0
}

// release returns the memory of a connection that is closed.
func (connection *callerConnection) release() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.reserved.Release()
}

// idleSince returns since when the connection has awaited a request, or the zero time.
func (connection *callerConnection) idleSince() time.Time {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	switch {
	case connection.reading:
		return time.Time{}
	case connection.served:
		return connection.respondedAt
	default:
		return connection.acceptedAt
	}
}

// CloseWrite lets the HTTP server send the end of the response before it closes a
// connection with unread bytes.
func (connection *callerConnection) CloseWrite() error {
	if writer, ok := connection.Conn.(interface{ CloseWrite() error }); ok {
		return writer.CloseWrite()
	}
	return nil
}

// resetOnClose makes the connection end with a reset when it is closed.
func (connection *callerConnection) resetOnClose() error {
	if socket, ok := connection.Conn.(*net.TCPConn); ok {
		return socket.SetLinger(0)
	}
	return nil
}

// responded records that a request was answered and the next one is awaited.
func (connection *callerConnection) responded() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.served, connection.reading, connection.handling, connection.headBytes = true, false, false, 0
	connection.respondedAt = time.Now()
	connection.reserved.Shrink(connection.reserved.Bytes() - connectionMemory)
}

// interruptIdle makes the HTTP server close the connection if it awaits a request.
// A caller that has just connected gets some time to send its first one. A request
// that arrives meanwhile is served: the server resets the deadline as soon as it
// has read the head.
func (connection *callerConnection) interruptIdle(now time.Time) error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.reading || socket.HasInput(connection.Conn) || !connection.served && now.Sub(connection.acceptedAt) < firstRequestWait {
		return nil
	}
	return connection.Conn.SetReadDeadline(now)
}
