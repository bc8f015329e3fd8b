package gateway_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// TestEndlessResponses guards against targets that send bytes without end: they must
// neither use up the memory of a host nor hold a request that another target can
// serve, and what they send must not look complete.
func TestEndlessResponses(t *testing.T) {
	const (
		acceptedBytes = 24 << 20 // a response of the largest size and the buffers of the sockets; an endless one has 64 MB
		prompt        = 1300 * time.Millisecond
		deadline      = 2 * time.Second
	)
	tests := []struct {
		name      string
		path      string
		behaviour standin.Behaviour
		status    int // 0 for a connection that is cut off
		within    time.Duration
	}{
		{"safe request, endless head", "/lookup/a", standin.EndlessHead, 200, prompt},
		{"unsafe request, endless head", "/filing/a", standin.EndlessHead, 502, prompt},
		{"stream, endless head", "/summary/a", standin.EndlessHead, 200, prompt},
		{"safe request, endless body", "/lookup/a", standin.EndlessBody, 200, prompt},
		{"unsafe request, endless body", "/filing/a", standin.EndlessBody, 502, prompt},
		{"turn, endless events", "/dialogue/a", standin.EndlessBody, 0, deadline},
		{"unsafe request, endless refusal", "/filing/a", standin.EndlessRefusal, 200, prompt},
		{"turn, endless refusal", "/dialogue/a", standin.EndlessRefusal, 200, prompt},
		{"safe request, endless response to an earlier one", "/lookup/a", standin.EndlessStale, 200, prompt},
		{"unsafe request, endless response to an earlier one", "/filing/a", standin.EndlessStale, 502, prompt},
		{"resumable stream, empty lines now and then", "/summary/a", standin.Trickle, 200, prompt},
		{"turn, empty lines now and then", "/dialogue/a", standin.Trickle, 504, deadline + 200*time.Millisecond},
	}
	fleet := newFleet(t, 1)
	targets := append(append([]*standin.Target{}, fleet.tools...), fleet.engines...)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			var first atomic.Bool
			before := int64(0)
			for _, target := range targets {
				before += target.SentEndless()
				target.SetBehaviour(func(standin.Run) standin.Behaviour {
					if first.CompareAndSwap(false, true) {
						return test.behaviour
					}
					return standin.Normal
				})
			}
			response := fleet.hosts[0].send(testRequest{path: test.path, key: key, body: "text", limit: deadline})
			time.Sleep(50 * time.Millisecond) // the target notices that its connection is closed
			sent := -before
			for _, target := range targets {
				sent += target.SentEndless()
			}
			if response.status != test.status || !response.complete || response.duration > test.within || sent > acceptedBytes {
				t.Logf("status %d, complete %v, after %v, %d bytes", response.status, response.complete, response.duration, sent)
			}
			if test.status == 0 {
				is.True(!response.complete)
			} else {
				is.Equal(response.status, test.status)
				is.True(response.complete)
			}
			is.True(response.duration <= test.within)
			is.True(sent <= acceptedBytes)
		})
	}
}

// TestCallerThatStopsReading guards against a caller that takes no more bytes and
// holds its request, and the target that serves it, beyond its deadline.
func TestCallerThatStopsReading(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 1)
	for _, target := range fleet.engines {
		target.SetBehaviour(func(standin.Run) standin.Behaviour { return standin.EndlessBody })
	}
	socket, err := net.Dial("tcp", fleet.hosts[0].settings.CallerAddress)
	is.NoErr(err)
	defer socket.Close()
	is.NoErr(socket.(*net.TCPConn).SetReadBuffer(4096))
	_, err = fmt.Fprintf(socket, "POST /dialogue/a HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nGodwitspread-Attempt-Id: stalled\r\nGodwitspread-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\ntext", hostName, key)
	is.NoErr(err)
	fleet.eventually(time.Second, "the request is in flight", func() bool { return fleet.hosts[0].Status().RequestsInFlight == 1 })
	fleet.eventually(2*time.Second, "the request ends", func() bool { return fleet.hosts[0].Status().RequestsInFlight == 0 })
}

// TestEndlessParts guards against targets that send parts of a response without end which
// net/http reads for itself, directly and through another host.
func TestEndlessParts(t *testing.T) {
	const (
		acceptedBytes = 8 << 20 // the buffers of the sockets on both ways
		prompt        = 1500 * time.Millisecond
	)
	behaviours := []standin.Behaviour{standin.EndlessHead, standin.EndlessInterimHead, standin.EndlessInterims, standin.EndlessTrailers, standin.EndlessChunkExtension}
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %t", relayed), func(t *testing.T) {
			fleet := newFleet(t, 3)
			if relayed {
				fleet.hosts[0].targets.set(refusing)
				fleet.eventually(5*time.Second, "the host has lost its targets", func() bool {
					fleet.hosts[0].send(testRequest{path: "/open/a"})
					return fleet.hosts[0].Status().TargetsLost
				})
			}
			targets := append(append([]*standin.Target{}, fleet.tools...), fleet.engines...)
			for _, behaviour := range behaviours {
				for _, test := range []struct {
					path   string
					status int
				}{{"/lookup/a", 200}, {"/filing/a", 502}} {
					t.Run(fmt.Sprintf("behaviour %d, %s", behaviour, test.path), func(t *testing.T) {
						is := is.NewRelaxed(t)
						var first atomic.Bool
						sent := int64(0)
						for _, target := range targets {
							sent -= target.SentEndless()
							target.SetBehaviour(func(standin.Run) standin.Behaviour {
								if first.CompareAndSwap(false, true) {
									return behaviour
								}
								return standin.Normal
							})
						}
						response := fleet.hosts[0].send(testRequest{path: test.path, key: key, body: "text", limit: 3 * time.Second})
						time.Sleep(50 * time.Millisecond) // the target notices that its connection is closed
						for _, target := range targets {
							sent += target.SentEndless()
						}
						t.Logf("status %d after %v, %d bytes", response.status, response.duration, sent)
						is.Equal(response.status, test.status)
						is.True(response.complete)
						is.True(response.duration < prompt)
						is.True(sent <= acceptedBytes)
					})
				}
			}
		})
	}
}
