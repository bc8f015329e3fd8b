package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilentTargetKeepsItsRequests guards against giving up a request, or running it
// again elsewhere, because the entry of its target has expired while it runs.
func TestSilentTargetKeepsItsRequests(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(t, 2)
	for _, engine := range fleet.engines {
		engine.Work = 300 * time.Millisecond
	}
	time.Sleep(2300 * time.Millisecond) // from now on, expired entries are removed at once
	paths := []string{"/summary/a", "/dialogue/a"}
	responses := make(chan testResponse, len(paths))
	for _, path := range paths {
		go func() { responses <- fleet.hosts[0].send(testRequest{path: path, key: key}) }()
	}
	time.Sleep(100 * time.Millisecond)
	for _, engine := range fleet.engines {
		fleet.store.Put("keyed.servers", engine.ID, nil)
	}
	for range paths {
		response := <-responses
		is.Equal(response.status, 200)
		is.True(response.complete)
		is.Equal(len(fleet.runsOf(response.attempt)), 1)
	}
}
