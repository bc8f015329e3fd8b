package gateway_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSilentTargetOfOnlyVersion guards against cutting off a stream because its target
// is silent for a second, although no other target can continue it.
func TestSilentTargetOfOnlyVersion(t *testing.T) {
	const silence = 1200 * time.Millisecond
	tests := []struct {
		name  string
		after time.Duration // the silence begins, counted from the request
	}{
		{"before the first event", 0},
		{"within the stream", 120 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			fleet := newFleet(t, 2)
			for number, engine := range fleet.engines {
				engine.Work = 50 * time.Millisecond
				engine.Version = "v1"
				if number > 0 {
					engine.Version = "v2"
				}
				if number == 0 || test.after > 0 {
					fleet.store.Put("keyed.servers", engine.ID, engine.Entry("ready"))
				} else {
					fleet.store.Put("keyed.servers", engine.ID, nil)
				}
			}
			time.Sleep(entryPropagation)
			served := 0
			for served == 0 {
				silent := time.AfterFunc(test.after, func() { fleet.engines[0].Pause(silence) })
				response := fleet.hosts[0].send(testRequest{path: "/summary/a", key: key})
				if !silent.Stop() {
					time.Sleep(silence) // the next request finds the target sound
				}
				is.Equal(response.status, 200)
				is.True(response.complete)
				runs := fleet.runsOf(response.attempt)
				is.Equal(len(runs), 1)
				if runs[0].Target == "e-0" {
					served++
				}
			}
		})
	}
}
