package outbound

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/memory"
)

// TestImpossibleStatus guards against taking a response of a target in trouble, whose status
// no response has, for a response, or what follows it on the connection.
func TestImpossibleStatus(t *testing.T) {
	tests := []struct {
		status   string
		possible bool
	}{
		{"000", false}, {"099", false}, {"+20", false}, {"600", false}, {"999", false}, {"200", true}, {"599", true}, {"100", true},
	}
	const following = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, test := range tests {
		t.Run(test.status, func(t *testing.T) {
			is := is.New(t)
			pool := NewPool(clockwork.NewRealClock())
			closed := make(chan error, 1)
			pool.SetDial(func(context.Context, string) (net.Conn, error) {
				local, remote := net.Pipe()
				go func() {
					buffer := make([]byte, 1024)
					if _, err := remote.Read(buffer); err != nil {
						closed <- err
						return
					}
					fmt.Fprintf(remote, "HTTP/1.1 %s Status\r\n\r\n%s", test.status, following)
					_, err := remote.Read(buffer)
					closed <- err
				}()
				return local, nil
			})
			any := func(int, http.Header, bool) bool { return true }
			response, err := pool.Send(t.Context(), "t", "address", http.MethodGet, Message{Head: []byte("GET / HTTP/1.1\r\n\r\n")}, Patience{}, any)
			var failure *SendError
			is.Equal(err == nil, test.possible)
			if err != nil {
				is.True(errors.As(err, &failure) && failure.Sent)
				is.Equal(<-closed, io.EOF)
				return
			}
			response.Abort()

			// The host that sends the request for another one passes no such head on to its observers.
			observed := 0
			scanner := headScanner{observe: func(int, http.Header) { observed++ }, memory: &memory.Reservation{}}
			scanner.scan([]byte("HTTP/1.1 000 Nothing\r\n\r\n" + following))
			is.Equal(observed, 0)
		})
	}
}
