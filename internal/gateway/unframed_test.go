package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

// pieces returns the numbers of the events in the body of a stream.
func pieces(body string) []int {
	var numbers []int
	for _, line := range strings.Split(body, "\n") {
		if text, found := strings.CutPrefix(line, "id: "); found {
			if number, err := strconv.Atoi(text); err == nil {
				numbers = append(numbers, number)
			}
		}
	}
	return numbers
}

// TestUnframedResponses guards against taking a response without a length or chunks for
// whole when its connection was reset or a stream ended inside an event, and against
// losing one that ended in order: directly and through another host.
func TestUnframedResponses(t *testing.T) {
	tests := []struct {
		path      string
		behaviour standin.Behaviour
		status    int
		complete  bool // the response looks complete to the caller
		runs      int
	}{
		{"/lookup/a", standin.Unframed, 200, true, 1},
		{"/lookup/a", standin.UnframedOldProtocol, 200, true, 1},
		{"/lookup/a", standin.UnframedEmpty, 200, true, 1},
		{"/lookup/a", standin.UnframedTrickle, 200, true, 1},
		{"/lookup/a", standin.UnframedReset, 200, true, 2}, // goes on elsewhere
		{"/filing/a", standin.Unframed, 200, true, 1},
		{"/filing/a", standin.UnframedReset, 502, true, 1},
		{"/summary/a", standin.Unframed, 200, true, 1},
		{"/summary/a", standin.UnframedOldProtocol, 200, true, 1},
		{"/summary/a", standin.UnframedTrickle, 200, true, 1},
		{"/summary/a", standin.UnframedInsideEvent, 200, true, 2},
		{"/summary/a", standin.UnframedReset, 200, true, 2},
		{"/summary/a", standin.UnframedResetAtBorder, 200, true, 2},
		{"/dialogue/a", standin.Unframed, 200, true, 1},
		{"/dialogue/a", standin.UnframedTrickle, 200, true, 1},
		{"/dialogue/a", standin.UnframedInsideEvent, 200, false, 1},
		{"/dialogue/a", standin.UnframedReset, 200, false, 1},
		{"/dialogue/a", standin.UnframedResetAtBorder, 200, false, 1},
		{"/dialogue/a", standin.UnframedEmpty, 502, true, 1}, // no stream is without events
	}
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %t", relayed), func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(t, 3)
			if relayed {
				fleet.hosts[0].targets.set(refusing)
				fleet.eventually(5*time.Second, "the host has lost its targets", func() bool {
					fleet.hosts[0].send(testRequest{path: "/open/a"})
					return fleet.hosts[0].Status().TargetsLost
				})
			}
			for _, test := range tests {
				is := is.New(t)
				first := true // the run at another target is sound
				for _, target := range append(append([]*standin.Target{}, fleet.tools...), fleet.engines...) {
					target.SetBehaviour(func(standin.Run) standin.Behaviour {
						fleet.mutex.Lock()
						defer fleet.mutex.Unlock()
						if first {
							first = false
							return test.behaviour
						}
						return standin.Normal
					})
				}
				name := fmt.Sprintf("%s, behaviour %d", test.path, test.behaviour)
				response := fleet.hosts[0].send(testRequest{path: test.path, key: key, body: "in", method: "POST"})
				if response.status != test.status || response.complete != test.complete {
					t.Errorf("%s: status %d, complete %t, body %q", name, response.status, response.complete, response.body)
				}
				if runs := len(fleet.runsOf(response.attempt)); runs != test.runs {
					t.Errorf("%s: %d runs, want %d", name, runs, test.runs)
				}
				numbers := pieces(response.body)
				for index, number := range numbers {
					is.Equal(number, index+1) // name
				}
				if stream := strings.HasPrefix(test.path, "/summary") || strings.HasPrefix(test.path, "/dialogue"); stream && test.status == 200 && test.complete {
					is.Equal(len(numbers), eventsPerStream) // name
				} else if test.status == 200 && test.behaviour != standin.UnframedEmpty && !stream {
					is.True(strings.HasPrefix(response.body, "done "+response.attempt)) // name
				}
				if strings.HasPrefix(test.path, "/dialogue") {
					// Only a turn that was whole is kept.
					next := fleet.hosts[1].send(testRequest{path: test.path, key: key, body: "next", method: "POST", previous: response.attempt})
					is.Equal(next.status == 200, test.status == 200 && test.complete) // name
				}
			}
		})
	}
}

// TestAbortWithoutChunks guards against a stream that is broken off and looks complete to
// a caller of HTTP/1.0, whose response ends with the connection.
func TestAbortWithoutChunks(t *testing.T) {
	for _, test := range []struct {
		behaviour standin.Behaviour
		reset     bool
	}{{standin.Normal, false}, {standin.Unframed, false}, {standin.UnframedInsideEvent, true}, {standin.UnframedResetAtBorder, true}, {standin.Truncate, true}} {
		is := is.New(t)
		fleet := newFleet(t, 1)
		for _, engine := range fleet.engines {
			engine.SetBehaviour(func(standin.Run) standin.Behaviour { return test.behaviour })
		}
		connection, err := net.Dial("tcp", fleet.hosts[0].settings.CallerAddress)
		is.NoErr(err)
		_, err = fmt.Fprintf(connection, "POST /dialogue/a HTTP/1.0\r\nHost: %s\r\nAuthorization: Bearer %s\r\nGodwitspread-Attempt-Id: old\r\nContent-Length: 2\r\n\r\nin", hostName, key)
		is.NoErr(err)
		response, err := io.ReadAll(connection)
		connection.Close()
		is.True(bytes.HasPrefix(response, []byte("HTTP/1.0 200")) || test.reset) // a reset may overtake what was sent
		is.Equal(err != nil, test.reset)
		is.True(!bytes.Contains(response, []byte("\r\nTransfer-Encoding")))
	}
}
