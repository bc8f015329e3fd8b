package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/refusal"
)

func TestFrameRoundTrip(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	sent := frame{Stream: 7, Kind: kindEnd, Refusal: refusal.New(refusal.Moved, "gone")}
	is.NoErr(writeFrame(&buffer, sent))
	received, err := readFrame(&buffer)
	is.NoErr(err)
	is.Equal(received, sent)
	is.True(writeFrame(&buffer, frame{Payload: make([]byte, maxFrame)}) != nil)
}

func FuzzReadFrame(f *testing.F) {
	var buffer bytes.Buffer
	if err := writeFrame(&buffer, frame{Stream: 1, Kind: kindRequest, Method: "m", Payload: []byte{0xc0}}); err != nil {
		f.Fatal(err)
	}
	f.Add(buffer.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Any input gives a frame or an error, never more memory than its length.
		_, _ = readFrame(bytes.NewReader(data))
	})
}

// pair returns two transports, the second listening.
func pair(t *testing.T, handler Handler) (*Transport, *Transport) {
	t.Helper()
	caller := NewTransport("a", "a-1", "secret", clockwork.NewRealClock(), handler)
	server := NewTransport("b", "b-1", "secret", clockwork.NewRealClock(), handler)
	if err := server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close(); server.Close() })
	return caller, server
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	caller, server := pair(t, func(ctx context.Context, request Request, send func(any) error) error {
		switch request.Method {
		case "count":
			for number := range 3 {
				if err := send(number); err != nil {
					return err
				}
			}
			return nil
		case "refuse":
			return refusal.New(refusal.RateExceeded, "too much")
		default:
			<-ctx.Done()
			close(cancelled)
			return ctx.Err()
		}
	})
	var numbers []int
	is.NoErr(caller.Call(context.Background(), server.Address(), "count", nil, func(value Value) error {
		var number int
		defer func() { numbers = append(numbers, number) }()
		return value.Decode(&number)
	}))
	is.Equal(numbers, []int{0, 1, 2})
	var refused *refusal.Refusal
	is.True(errors.As(caller.Call(context.Background(), server.Address(), "refuse", nil, nil), &refused))
	is.Equal(refused.Code, refusal.RateExceeded)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { time.Sleep(20 * time.Millisecond); cancel() }()
	is.True(errors.Is(caller.Call(ctx, server.Address(), "wait", nil, nil), context.Canceled))
	<-cancelled // the cancellation reaches the other host
}

// TestSilentConnection cuts a connection so that nothing arrives any more and
// nothing is closed. The call fails and the next one gets a fresh connection.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	caller, server := pair(t, func(ctx context.Context, request Request, send func(any) error) error {
		if request.Method == "wait" {
			<-ctx.Done()
		}
		return send("done")
	})
	proxy := newSilencer(t, server.Address())
	failed := make(chan error, 1)
	go func() { failed <- caller.Call(context.Background(), proxy.address(), "wait", nil, nil) }()
	for !proxy.connected() {
		time.Sleep(time.Millisecond)
	}
	proxy.silence()
	is.True(errors.Is(<-failed, ErrConnection))
	var answer string
	is.NoErr(caller.Ask(context.Background(), proxy.address(), "echo", nil, &answer))
	is.Equal(answer, "done")
}

func TestWrongSecret(t *testing.T) {
	is := is.New(t)
	_, server := pair(t, nil)
	stranger := NewTransport("c", "c-1", "other", clockwork.NewRealClock(), nil)
	defer stranger.Close()
	err := stranger.Call(context.Background(), server.Address(), "count", nil, nil)
	is.True(errors.Is(err, ErrConnection))
	for limit := time.Now().Add(10 * time.Second); server.Rejected() == 0 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(server.Rejected(), int64(1))
	is.True(!strings.Contains(err.Error(), "other")) // no secret in errors
}

// silencer passes connections on until it is told to swallow what the open
// ones carry.
type silencer struct {
	listener net.Listener
	target   string
	open     chan struct{}
	silent   chan struct{}
}

func newSilencer(t *testing.T, target string) *silencer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silencer := &silencer{listener: listener, target: target, open: make(chan struct{}, 8), silent: make(chan struct{})}
	t.Cleanup(func() { listener.Close() })
	go silencer.accept()
	return silencer
}

func (silencer *silencer) address() string { return silencer.listener.Addr().String() }
func (silencer *silencer) connected() bool { return len(silencer.open) > 0 }
func (silencer *silencer) silence()        { close(silencer.silent) }

func (silencer *silencer) accept() {
	for first := true; ; first = false {
		from, err := silencer.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", silencer.target)
		if err != nil {
			return
		}
		go silencer.pass(from, to, first)
		go silencer.pass(to, from, first)
		silencer.open <- struct{}{}
	}
}

func (silencer *silencer) pass(from, to net.Conn, mayFallSilent bool) {
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		select {
		case <-silencer.silent:
			if mayFallSilent {
				continue
			}
		default:
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}
