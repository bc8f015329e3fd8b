package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/route"
)

const (
	defaultHeaderTimeout = 3 * time.Second  // until a configuration is applied
	defaultIdleTimeout   = 30 * time.Second // until a configuration is applied
	defaultHeaderBytes   = 16 << 10         // until a configuration is applied
	acceptRetryDelay     = 20 * time.Millisecond
)

// callerServer accepts the connections of callers. The limits of a new
// configuration apply to connections that are accepted afterwards.
type callerServer struct {
	handler http.Handler
	logger  log.Interface
	maxOpen int64 // open connections

	listener net.Listener
	open     atomic.Int64

	mutex   sync.Mutex
	limits  route.Limits
	current *queueListener
	servers []*http.Server
}

func newCallerServer(handler http.Handler, logger log.Interface, maxOpen int) *callerServer {
	callerServer := &callerServer{handler: handler, logger: logger, maxOpen: int64(maxOpen)}
	callerServer.applyLimits(route.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout})
	return callerServer
}

// applyLimits starts an HTTP server for new connections if the limits have
// changed. Earlier servers keep serving their connections.
func (callerServer *callerServer) applyLimits(limits route.Limits) {
	callerServer.mutex.Lock()
	defer callerServer.mutex.Unlock()
	if callerServer.current != nil && limits == callerServer.limits {
		return
	}
	callerServer.limits = limits
	server := &http.Server{
		Handler: callerServer.handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout, ConnState: callerServer.trackState,
	}
	callerServer.current = newQueueListener()
	callerServer.servers = append(callerServer.servers, server)
	go func(connections *queueListener) {
		if err := server.Serve(connections); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			callerServer.logger.WithError(err).Error("HTTP server for callers failed")
		}
	}(callerServer.current)
}

func (callerServer *callerServer) trackState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		callerServer.open.Add(-1)
	}
}

// listen opens the address and accepts connections in the background until the
// listener is closed.
func (callerServer *callerServer) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	callerServer.listener = listener
	go callerServer.accept()
	return nil
}

func (callerServer *callerServer) accept() {
	for {
		connection, err := callerServer.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			callerServer.logger.WithError(err).Warn("accepting a connection of a caller failed; retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if callerServer.open.Add(1) > callerServer.maxOpen {
			callerServer.open.Add(-1)
			callerServer.logger.WithField("open", callerServer.maxOpen).Warn("limit of caller connections reached; closing a new connection")
			connection.Close()
			continue
		}
		callerServer.mutex.Lock()
		current := callerServer.current
		callerServer.mutex.Unlock()
		current.connections <- connection
	}
}

// shutdown closes idle connections and waits for requests in flight.
func (callerServer *callerServer) shutdown(ctx context.Context) error {
	err := callerServer.listener.Close()
	callerServer.mutex.Lock()
	servers := callerServer.servers
	callerServer.mutex.Unlock()
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	return err
}

// kill closes every connection.
func (callerServer *callerServer) kill() {
	// An error makes no difference, because the host is being killed.
	_ = callerServer.listener.Close()
	callerServer.mutex.Lock()
	servers := callerServer.servers
	callerServer.mutex.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
}

// queueListener is a net.Listener that returns the connections sent to its
// channel.
type queueListener struct {
	connections chan net.Conn
	done        chan struct{}
	once        sync.Once
}

func newQueueListener() *queueListener {
	return &queueListener{connections: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (queueListener *queueListener) Accept() (net.Conn, error) {
	select {
	case connection := <-queueListener.connections:
		return connection, nil
	case <-queueListener.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (queueListener *queueListener) Close() error {
	queueListener.once.Do(func() { close(queueListener.done) })
	return nil
}

// Addr implements net.Listener.
func (queueListener *queueListener) Addr() net.Addr { return &net.TCPAddr{} }
