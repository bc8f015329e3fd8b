package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/pkg/client"
)

// TestInvalidInput guards against invalid requests of callers that are accepted, that get
// the wrong status or an error without a code, or that break later requests.
func TestInvalidInput(t *testing.T) {
	cluster := newCluster(t, "a")
	id := mustOpen(t, cluster.client("council"), client.OpenOptions{})
	tests := []struct {
		name   string
		path   string
		body   []byte
		status int
	}{
		{"malformed JSON", "/v1/programs", []byte("{"), http.StatusBadRequest},
		{"unknown field", "/v1/programs", []byte(`{"colour":"red"}`), http.StatusBadRequest},
		{"two JSON documents", "/v1/programs", []byte(`{}{}`), http.StatusBadRequest},
		{"negative budget", "/v1/programs", []byte(`{"budget":-1}`), http.StatusBadRequest},
		{"unknown parent", "/v1/programs", []byte(`{"parent":"a.1.x"}`), http.StatusNotFound},
		{"invalid UTF-8", "/v1/programs/" + id + "/calls", []byte("{\"id\":\"\xff\"}"), http.StatusBadRequest},
		{"call without an ID", "/v1/programs/" + id + "/calls", []byte(`{"service":"draft"}`), http.StatusBadRequest},
		{"oversized body", "/v1/programs/" + id + "/calls", bytes.Repeat([]byte("x"), 70_000), http.StatusRequestEntityTooLarge},
		{"malformed program ID", "/v1/programs/nonsense/calls", []byte(`{"id":"1","service":"draft"}`), http.StatusNotFound},
		{"nonexistent program", "/v1/programs/a.1.nobody/calls", []byte(`{"id":"1","service":"draft"}`), http.StatusNotFound},
		{"engine outside a program", "/v1/services/draft", []byte(`{}`), http.StatusBadRequest},
		{"unknown path", "/v2/programs", []byte(`{}`), http.StatusNotFound},
		{"key in the query string", "/v1/programs?key=" + key.Prefix + "x", []byte(`{}`), http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			request, err := http.NewRequest(http.MethodPost, cluster.nodes[0].url()+test.path, bytes.NewReader(test.body))
			is.NoErr(err)
			request.Header.Set("Authorization", "Bearer "+cluster.secrets["council"])
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.True(strings.Contains(string(body), `"code"`)) // every error has a code
		})
	}
	is := is.New(t)
	_, err := cluster.client("council").Do(context.Background(), id, draftCall("still", "works"))
	is.NoErr(err)
}

// TestInvalidPeerAndLogData guards against invalid data that breaks a daemon: from clients
// that connect to the peer address, and in records of the log.
func TestInvalidPeerAndLogData(t *testing.T) {
	is := is.New(t)
	cluster := newCluster(t, "a")
	address := cluster.nodes[0].daemon.settings.PeerAddress
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff", "\x00\x00\x00\x05abcde", "\x00\x00\x00\x00"} {
		socket, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = io.WriteString(socket, bytes)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, socket)
		is.True(err == nil || errors.Is(err, net.ErrClosed) || strings.Contains(err.Error(), "reset"))
		socket.Close()
	}
	cluster.eventually("all invalid connections are counted as rejected", func() bool { return cluster.nodes[0].daemon.transport.Rejected() == 4 })
	for _, stream := range []string{"ledger.a", "history.a", platform.ConfigurationStream} {
		_, err := cluster.log.Append(context.Background(), stream, []byte("not a record"))
		is.NoErr(err)
	}
	id := mustOpen(t, cluster.client("council"), client.OpenOptions{})
	_, err := cluster.client("council").Do(context.Background(), id, draftCall("still", "works"))
	is.NoErr(err)
}
