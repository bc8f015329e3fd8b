package outbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// target accepts connections and serves each with a function.
func target(t *testing.T, serve func(socket net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer socket.Close()
				serve(socket, bufio.NewReader(socket))
			}()
		}
	}()
	return listener.Addr().String()
}

// answering reads requests and answers each with the next text.
func answering(texts ...string) func(net.Conn, *bufio.Reader) {
	return func(socket net.Conn, reader *bufio.Reader) {
		for number := 0; ; number++ {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(socket, texts[min(number, len(texts)-1)]); err != nil {
				return
			}
		}
	}
}

const (
	message = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	whole   = "HTTP/1.1 200 OK\r\nX-For: mine\r\nContent-Length: 2\r\n\r\nok"
	theirs  = "HTTP/1.1 200 OK\r\nX-For: other\r\nContent-Length: 5\r\n\r\nother"
)

func mine(_ int, header http.Header) bool { return header.Get("X-For") == "mine" }

func exchange(pool *Pool, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := pool.Send(ctx, "t", address, http.MethodGet, []byte(message), 0, mine)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		answer.Abort()
		return "", err
	}
	answer.Finish()
	return string(body), nil
}

func TestSend(t *testing.T) {
	tests := []struct {
		name   string
		texts  []string
		bodies []string // of two exchanges; none for a failure
		opened int64
	}{
		{"connection is used again", []string{whole}, []string{"ok", "ok"}, 1},
		{"answer to another request comes first", []string{theirs + whole}, []string{"ok", "ok"}, 1},
		{"informational answer comes first", []string{"HTTP/1.1 102 Processing\r\n\r\n" + whole}, []string{"ok", "ok"}, 1},
		{"more bytes than the answer", []string{whole + "junk"}, []string{"ok", "ok"}, 2},
		{"target closes after its answer", []string{strings.Replace(whole, "X-For", "Connection: close\r\nX-For", 1)}, []string{"ok", "ok"}, 2},
		{"target keeps connections shortly", []string{strings.Replace(whole, "X-For", "Keep-Alive: timeout=0\r\nX-For", 1)}, []string{"ok", "ok"}, 2},
		{"no answer in the protocol", []string{"nonsense\r\n\r\n"}, []string{"", ""}, 2},
		{"answer is cut off", []string{"HTTP/1.1 200 OK\r\nX-For: mine\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok"}, []string{"", ""}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			serve := answering(test.texts...)
			if strings.Contains(test.name, "cut off") {
				serve = func(socket net.Conn, reader *bufio.Reader) {
					if _, err := http.ReadRequest(reader); err == nil {
						_, _ = io.WriteString(socket, test.texts[0])
					}
				}
			}
			address := target(t, serve)
			pool := NewPool(clockwork.NewRealClock())
			for _, expected := range test.bodies {
				body, err := exchange(pool, address)
				is.Equal(body, expected)
				is.Equal(err != nil, expected == "")
			}
			is.Equal(pool.Opened(), test.opened)
		})
	}
}

// TestClosedWhileIdle checks that a connection which the target has closed is
// not used for the next request.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	address := target(t, func(socket net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(socket, whole)
		}
	})
	pool := NewPool(clockwork.NewRealClock())
	for range 3 {
		body, err := exchange(pool, address)
		is.NoErr(err)
		is.Equal(body, "ok")
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(pool.Opened(), int64(3))
}

// TestBounds checks that no more connections are kept than a target has room
// for.
func TestBounds(t *testing.T) {
	is := is.New(t)
	address := target(t, answering(whole))
	pool := NewPool(clockwork.NewRealClock())
	pool.Bound(map[string]int{"t": 2})
	var answers []*Answer
	for range 5 {
		answer, err := pool.Send(context.Background(), "t", address, http.MethodGet, []byte(message), 0, mine)
		is.NoErr(err)
		_, err = io.ReadAll(answer.Body)
		is.NoErr(err)
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		answer.Finish()
	}
	is.Equal(len(pool.idle["t@"+address]), 2)
	pool.Forget(func(string) bool { return false })
	is.Equal(len(pool.idle), 0)
}

// TestNotReached checks that a failure tells whether the request may have run.
func TestNotReached(t *testing.T) {
	is := is.New(t)
	pool := NewPool(clockwork.NewRealClock())
	_, err := exchange(pool, "127.0.0.1:1")
	var failed *SendError
	is.True(errors.As(err, &failed) && !failed.Sent)
	address := target(t, func(net.Conn, *bufio.Reader) {})
	_, err = exchange(pool, address)
	is.True(errors.As(err, &failed) && failed.Sent)
}

// FuzzAnswer checks that whatever a target sends is either the answer to the
// request or an error.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{whole, theirs + whole, "HTTP/1.1 200 OK\r\nX-For: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 100\r\n\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(text)
			}
			far.Close()
		}()
		pool := NewPool(clockwork.NewRealClock())
		pool.idle["t@a"] = []*conn{{Conn: near, reader: bufio.NewReader(near), key: "t@a", since: time.Now(), limit: time.Minute}}
		answer, err := pool.Send(context.Background(), "t", "a", http.MethodGet, []byte(message), 0, mine)
		if err != nil {
			return
		}
		if answer.Header.Get("X-For") != "mine" || answer.StatusCode < http.StatusOK {
			t.Errorf("answer %d %v is not to the request", answer.StatusCode, answer.Header)
		}
		_, _ = io.ReadAll(answer.Body)
		answer.Abort()
	})
}
