package peer

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// TestIdleConnections guards against connections that stay open without calls: in a
// fleet of hundreds of hosts, each host would keep one to almost every other host.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	release := make(chan struct{})
	server := NewTransport("b", "b-1", "secret", clock, discardLogger, func(_ context.Context, request Request, send func(any) error) error {
		if request.Method == "wait" {
			<-release
		}
		return send("done")
	})
	is.NoErr(server.Listen("127.0.0.1:0"))
	caller := NewTransport("a", "a-1", "secret", clock, discardLogger, nil)
	t.Cleanup(func() { _ = caller.Close(); _ = server.Close() })
	var response string
	is.NoErr(caller.Ask(context.Background(), server.Address(), "echo", nil, &response))
	maintainFor := func(duration time.Duration) {
		for end := clock.Now().Add(duration); clock.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			clock.Advance(pingInterval)
		}
	}
	maintainFor(idleTimeout - pingInterval)
	is.Equal(len(caller.openConnections()), 1) // soon used again
	maintainFor(4 * pingInterval)
	is.Equal(len(caller.openConnections()), 0)
	ended := make(chan error, 1)
	go func() {
		var response string
		ended <- caller.Ask(context.Background(), server.Address(), "wait", nil, &response)
	}()
	for len(server.openConnections()) == 0 {
		time.Sleep(time.Millisecond)
	}
	maintainFor(2 * idleTimeout)
	is.Equal(len(caller.openConnections()), 1) // a call is not idle
	close(release)
	is.NoErr(<-ended)
}

// TestSilentConnection guards against calls that keep failing on a connection that has
// gone silent, although a new connection to the host works.
func TestSilentConnection(t *testing.T) {
	const callTimeout = 60 * time.Millisecond
	is := is.New(t)
	caller, server := newTransports(t, func(_ context.Context, _ Request, send func(any) error) error { return send("done") })
	proxy := newStallingProxy(t, server.Address())
	ask := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var response string
		return caller.Ask(ctx, proxy.address(), "echo", nil, &response)
	}
	for ask() != nil { // the first call dials
		time.Sleep(time.Millisecond)
	}
	proxy.stall()
	stalled := time.Now()
	for ask() != nil {
		is.True(time.Since(stalled) < livenessTimeout/2) // the silent connection is still in use
	}
}

// TestSlowHandler guards against new connections to a host whose calls only take long.
func TestSlowHandler(t *testing.T) {
	is := is.New(t)
	caller, server := newTransports(t, func(_ context.Context, _ Request, send func(any) error) error {
		time.Sleep(300 * time.Millisecond)
		return send("done")
	})
	for range 8 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		var response string
		is.True(errors.Is(caller.Ask(ctx, server.Address(), "wait", nil, &response), context.DeadlineExceeded))
		cancel()
	}
	is.Equal(len(caller.openConnections()), 1)
}

// TestConnectionMemory bounds the memory of a connection between hosts. A host of 300
// that has connections in both directions to all others may use 28 MB for everything.
func TestConnectionMemory(t *testing.T) {
	const (
		peers     = 100
		bothSides = 2        // this process holds both ends of each connection
		limit     = 32 << 10 // bytes of one end
	)
	is := is.New(t)
	caller, _ := newTransports(t, nil)
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapInuse + stats.StackInuse
	}
	var servers []*Transport
	for range peers {
		server := NewTransport("b", "b-1", "secret", clockwork.NewRealClock(), discardLogger, nil)
		is.NoErr(server.Listen("127.0.0.1:0"))
		t.Cleanup(func() { _ = server.Close() })
		servers = append(servers, server)
	}
	before := heap()
	for _, server := range servers {
		is.NoErr(caller.Connect(context.Background(), server.Address()))
	}
	each := int64(heap()-before) / (peers * bothSides)
	is.True(each < limit) // bytes for one end of a connection
}
