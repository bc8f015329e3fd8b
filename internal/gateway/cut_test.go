package gateway_test

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// cutMode is what happens between a host and all targets.
type cutMode uint8

const (
	connected cutMode = iota
	hanging           // connections and attempts to open one get no response
	resetting         // open connections are reset, new ones refused
	refusing          // open connections live on, new ones are refused
)

// targetPath connects a host to targets and can be cut.
type targetPath struct {
	mutex       sync.Mutex
	mode        cutMode
	changed     chan struct{} // closed when the mode changes
	connections map[*cutConnection]bool
}

func newTargetPath() *targetPath {
	return &targetPath{changed: make(chan struct{}), connections: make(map[*cutConnection]bool)}
}

func (path *targetPath) current() (cutMode, chan struct{}) {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	return path.mode, path.changed
}

// set cuts the path or heals it. Connections that hung are reset when it heals.
func (path *targetPath) set(mode cutMode) {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	if mode == resetting || path.mode == hanging {
		for connection := range path.connections {
			connection.TCPConn.SetLinger(0)
			connection.TCPConn.Close()
			delete(path.connections, connection)
		}
	}
	path.mode = mode
	close(path.changed)
	path.changed = make(chan struct{})
}

// dial connects to a target.
func (path *targetPath) dial(ctx context.Context, address string) (net.Conn, error) {
	mode, _ := path.current()
	switch mode {
	case hanging:
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, os.ErrDeadlineExceeded
	case resetting, refusing:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	opened, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	connection := &cutConnection{TCPConn: opened.(*net.TCPConn), path: path}
	path.mutex.Lock()
	defer path.mutex.Unlock()
	path.connections[connection] = true
	return connection, nil
}

// cutConnection is a connection to a target. While its path hangs, nothing that is
// written arrives, and what the target sends is held back.
type cutConnection struct {
	*net.TCPConn
	path *targetPath

	mutex    sync.Mutex
	deadline time.Time
}

// Read implements net.Conn.
func (connection *cutConnection) Read(buffer []byte) (int, error) {
	for {
		mode, changed := connection.path.current()
		if mode != hanging {
			count, err := connection.TCPConn.Read(buffer)
			if now, _ := connection.path.current(); now != hanging || err != nil {
				return count, err
			}
			continue // what arrives after the cut is lost
		}
		connection.mutex.Lock()
		deadline := connection.deadline
		connection.mutex.Unlock()
		if !deadline.IsZero() && time.Now().After(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		select {
		case <-changed:
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Write implements net.Conn.
func (connection *cutConnection) Write(data []byte) (int, error) {
	if mode, _ := connection.path.current(); mode == hanging {
		return len(data), nil
	}
	return connection.TCPConn.Write(data)
}

// SetDeadline implements net.Conn.
func (connection *cutConnection) SetDeadline(deadline time.Time) error {
	connection.setDeadline(deadline)
	return connection.TCPConn.SetDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (connection *cutConnection) SetReadDeadline(deadline time.Time) error {
	connection.setDeadline(deadline)
	return connection.TCPConn.SetReadDeadline(deadline)
}

func (connection *cutConnection) setDeadline(deadline time.Time) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.deadline = deadline
}

// Close implements net.Conn.
func (connection *cutConnection) Close() error {
	connection.path.mutex.Lock()
	delete(connection.path.connections, connection)
	connection.path.mutex.Unlock()
	return connection.TCPConn.Close()
}
