package outbound

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/godwitspread/godwitspread/internal/memory"
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	reachability *reachability
	inFlight     atomic.Bool // a request waits for the target
	relayed      bool        // through another host; the connection carries one request
	reader       *bufio.Reader
	reused       bool // an earlier request was sent on the connection
	stale        bool // a response to another request has arrived on it
	readingHead  bool
	headBytes    int                 // bytes read since the head of the response began
	memory       *memory.Reservation // of the request
	grown        int64               // bytes added to it for the request
	key          string              // ID and address of the target
	idleSince    time.Time           // set while the connection is in the pool
	idleTimeout  time.Duration
}

var errHeadTooLarge = fmt.Errorf("head of the response exceeds %d bytes", maxHeadBytes)

// Read implements io.Reader. It limits the bytes read for the head of a response.
func (connection *conn) Read(buffer []byte) (int, error) {
	if connection.readingHead && connection.headBytes >= maxHeadBytes {
		return 0, errHeadTooLarge
	}
	if connection.readingHead && connection.headBytes >= readBufferSize {
		// The lines of a large head are held twice: as read and as decoded.
		if err := connection.grow(2 * len(buffer)); err != nil {
			return 0, err
		}
	}
	count, err := connection.Conn.Read(buffer)
	if count > 0 {
		connection.reachability.heard()
	}
	connection.headBytes += count
	return count, err
}

// beginHead begins to limit the bytes that are read for the head of a response.
func (connection *conn) beginHead() { connection.readingHead, connection.headBytes = true, 0 }

// readHead reads the head of a response, after beginHead.
func (connection *conn) readHead(method string) (*http.Response, error) {
	defer func() { connection.readingHead = false }()
	if err := checkOldProtocol(connection.reader); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return response, checkHead(response)
}

// begin records that a request is sent on the connection.
func (connection *conn) begin() {
	connection.inFlight.Store(true)
	connection.reachability.begin()
}

// end records that the request on the connection has ended.
func (connection *conn) end() {
	connection.shrink()
	if connection.inFlight.CompareAndSwap(true, false) {
		connection.reachability.end()
	}
}

// newConn returns a connection to the target with a key.
func newConn(opened net.Conn, key string, reachability *reachability) *conn {
	connection := &conn{Conn: opened, key: key, reachability: reachability}
	connection.reader = bufio.NewReaderSize(connection, readBufferSize)
	return connection
}
