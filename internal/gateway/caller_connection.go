package gateway

import (
	"net"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/socket"
)

// callerConnection is a connection of a caller that can be closed between two
// requests without cutting off the next one.
type callerConnection struct {
	net.Conn
	acceptedAt time.Time

	mutex   sync.Mutex
	served  bool // a response was sent
	reading bool // bytes of a request have arrived that is not answered yet
}

// Read implements net.Conn.
func (connection *callerConnection) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	if count > 0 {
		connection.mutex.Lock()
		connection.reading = true
		connection.mutex.Unlock()
	}
	return count, err
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
	connection.served, connection.reading = true, false
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
