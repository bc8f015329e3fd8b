package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/godwitspread/godwitspread/internal/front"
	"github.com/godwitspread/godwitspread/internal/memory"
	"github.com/godwitspread/godwitspread/internal/route"
)

const (
	defaultHeaderTimeout = 3 * time.Second  // until a configuration is applied
	defaultIdleTimeout   = 30 * time.Second // until a configuration is applied
	defaultHeaderBytes   = 16 << 10         // until a configuration is applied
	defaultWriteTimeout  = 30 * time.Second // of a response, from the head of its request; the handler sets a shorter one
	acceptRetryDelay     = 20 * time.Millisecond
	quietInterval        = 5 * time.Millisecond   // without a new connection, after which a stopping host accepts no more
	lastAcceptWait       = 200 * time.Millisecond // the same for a host that still gets new connections
	firstRequestWait     = time.Second            // at a planned stop, for callers that have just connected
	closeIdleInterval    = 5 * time.Millisecond   // at a planned stop
	noMemoryLogInterval  = time.Second
	minIdleTime          = 500 * time.Millisecond // of connections that are closed for lack of memory
	spareConnections     = 32                     // for which there is memory before long idle ones are closed
	closedIdleDivisor    = 16                     // part of the connections of which the longest idle are closed at a time, when there is no memory for more
)

// callerServer accepts the connections of callers. The limits of a new
// configuration apply to connections that are accepted afterwards.
type callerServer struct {
	handler http.Handler
	logger  log.Interface
	maxOpen int64 // open connections
	memory  *memory.Budget

	listener deadlineListener
	open     atomic.Int64
	stopBy   atomic.Pointer[time.Time] // when a stopping host accepts no more connections; nil before
	accepted chan struct{}             // closed when no further connection is accepted

	mutex   sync.Mutex
	limits  route.Limits
	current *queueListener
	servers []*http.Server

	idleClosedAt time.Time // when long idle connections were closed for others
	noMemoryAt   time.Time // when a lack of memory was logged; used by accept only

	stopping    atomic.Bool
	connections map[*callerConnection]struct{}
}

// deadlineListener is a listener whose Accept can time out.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

func newCallerServer(handler http.Handler, logger log.Interface, maxOpen int, budget *memory.Budget) *callerServer {
	callerServer := &callerServer{handler: handler, logger: logger, maxOpen: int64(maxOpen), memory: budget, connections: make(map[*callerConnection]struct{})}
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
		Handler: http.HandlerFunc(callerServer.handle), MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout,
		WriteTimeout: defaultWriteTimeout, IdleTimeout: limits.IdleTimeout, ConnState: callerServer.trackState, ConnContext: withConnection,
	}
	callerServer.current = newQueueListener()
	callerServer.servers = append(callerServer.servers, server)
	go func(connections *queueListener) {
		if err := server.Serve(connections); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			callerServer.logger.WithError(err).Error("HTTP server for callers failed")
		}
	}(callerServer.current)
}

// handle passes a request to the handler. While the host is stopping, the
// connection is closed after the response.
func (callerServer *callerServer) handle(writer http.ResponseWriter, request *http.Request) {
	if callerServer.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	if connection, ok := request.Context().Value(connectionKey{}).(*callerConnection); ok {
		connection.headReceived()
	}
	callerServer.handler.ServeHTTP(writer, request)
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// withConnection gives the handler the means to reset the connection of a request.
func withConnection(ctx context.Context, socket net.Conn) context.Context {
	if connection, ok := socket.(*callerConnection); ok {
		return context.WithValue(front.WithReset(ctx, connection.resetOnClose), connectionKey{}, connection)
	}
	return ctx
}

func (callerServer *callerServer) trackState(socket net.Conn, state http.ConnState) {
	connection, ok := socket.(*callerConnection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		connection.responded()
	case http.StateClosed, http.StateHijacked:
		callerServer.forget(connection)
	}
}

// forget removes a connection that is closed.
func (callerServer *callerServer) forget(connection *callerConnection) {
	callerServer.mutex.Lock()
	defer callerServer.mutex.Unlock()
	if _, known := callerServer.connections[connection]; !known {
		return
	}
	delete(callerServer.connections, connection)
	connection.release()
	callerServer.open.Add(-1)
}

// listen opens the address and accepts connections in the background until the
// listener is closed.
func (callerServer *callerServer) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	callerServer.serve(listener.(*net.TCPListener))
	return nil
}

// serve accepts connections in the background.
func (callerServer *callerServer) serve(listener deadlineListener) {
	callerServer.listener, callerServer.accepted = listener, make(chan struct{})
	go callerServer.accept()
}

func (callerServer *callerServer) accept() {
	defer close(callerServer.accepted)
	for {
		socket, err := callerServer.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			callerServer.logger.WithError(err).Warn("accepting a connection of a caller failed; retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		callerServer.extendAccept()
		if callerServer.open.Add(1) > callerServer.maxOpen {
			callerServer.open.Add(-1)
			callerServer.logger.WithField("open", callerServer.maxOpen).Warn("limit of caller connections reached; closing a new connection")
			socket.Close()
			continue
		}
		reserved, err := callerServer.memory.Reserve(memory.Connections, connectionMemory)
		if err != nil {
			callerServer.open.Add(-1)
			callerServer.logNoMemory(err)
			callerServer.closeLongIdle(closeIdleInterval)
			socket.Close()
			continue
		}
		if !callerServer.memory.HasRoom(memory.Connections, spareConnections*connectionMemory) {
			callerServer.closeLongIdle(closeIdleInterval)
		}
		connection := &callerConnection{Conn: socket, acceptedAt: time.Now(), reserved: reserved}
		callerServer.mutex.Lock()
		current := callerServer.current
		callerServer.connections[connection] = struct{}{}
		callerServer.mutex.Unlock()
		select {
		case current.connections <- connection:
		case <-current.done:
			callerServer.forget(connection)
			connection.Close()
		}
	}
}

// extendAccept lets a stopping host accept the next connection of a series.
func (callerServer *callerServer) extendAccept() {
	if !callerServer.acceptsAt(time.Now()) {
		return
	}
	if err := callerServer.listener.SetDeadline(time.Now().Add(quietInterval)); err != nil {
		callerServer.logger.WithError(err).Warn("accepting the last connections of callers failed")
	}
}

// acceptsAt reports whether a stopping host may accept another connection at a time.
func (callerServer *callerServer) acceptsAt(now time.Time) bool {
	stopBy := callerServer.stopBy.Load()
	return stopBy != nil && !now.After(*stopBy)
}

// stopAccepting sets when a stopping host accepts no more connections.
func (callerServer *callerServer) stopAccepting(now time.Time) {
	stopBy := now.Add(lastAcceptWait)
	callerServer.stopBy.Store(&stopBy)
}

// shutdown stops accepting connections, serves the requests that callers have
// sent, and closes the connections between requests. It does not leave this to
// http.Server.Shutdown, which drops a request that it reads meanwhile.
func (callerServer *callerServer) shutdown(ctx context.Context) error {
	callerServer.stopping.Store(true)
	callerServer.stopAccepting(time.Now())
	err := callerServer.listener.SetDeadline(time.Now().Add(quietInterval))
	if err == nil {
		<-callerServer.accepted
	}
	err = errors.Join(err, callerServer.listener.Close())
	for callerServer.open.Load() > 0 && ctx.Err() == nil {
		callerServer.interruptIdle()
		time.Sleep(closeIdleInterval)
	}
	callerServer.mutex.Lock()
	servers := callerServer.servers
	callerServer.mutex.Unlock()
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	return err
}

// interruptIdle closes the connections that await a request.
func (callerServer *callerServer) interruptIdle() {
	callerServer.mutex.Lock()
	defer callerServer.mutex.Unlock()
	for connection := range callerServer.connections {
		// It fails only for a connection that is already closed.
		_ = connection.interruptIdle(time.Now())
	}
}

// closeLongIdle closes some of the connections that have been idle for longest, unless it
// has done so within an interval.
func (callerServer *callerServer) closeLongIdle(interval time.Duration) {
	callerServer.mutex.Lock()
	defer callerServer.mutex.Unlock()
	now := time.Now()
	if now.Sub(callerServer.idleClosedAt) < interval {
		return
	}
	callerServer.idleClosedAt = now
	var idle []*callerConnection
	for connection := range callerServer.connections {
		if since := connection.idleSince(); !since.IsZero() && now.Sub(since) >= minIdleTime {
			idle = append(idle, connection)
		}
	}
	slices.SortFunc(idle, func(left, right *callerConnection) int { return left.idleSince().Compare(right.idleSince()) })
	for _, connection := range idle[:min(len(idle), 1+len(callerServer.connections)/closedIdleDivisor)] {
		// It fails only for a connection that is already closed.
		_ = connection.interruptIdle(now)
	}
}

// logNoMemory logs that a connection is closed for lack of memory, once a second.
func (callerServer *callerServer) logNoMemory(err error) {
	if now := time.Now(); now.Sub(callerServer.noMemoryAt) >= noMemoryLogInterval {
		callerServer.noMemoryAt = now
		callerServer.logger.WithError(err).WithField("open", callerServer.open.Load()).Warn("no memory for a connection of a caller; closing it")
	}
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
