package admission_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/admission"
	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/workspace"
)

// fakeOwnership reports the same ownership, which the test sets, for every slot.
type fakeOwnership struct {
	mutex sync.Mutex
	epoch uint64
	owned bool
}

func (ownership *fakeOwnership) OwnedEpoch(int) (uint64, bool) {
	ownership.mutex.Lock()
	defer ownership.mutex.Unlock()
	return ownership.epoch, ownership.owned
}

func (ownership *fakeOwnership) set(epoch uint64, owned bool) {
	ownership.mutex.Lock()
	defer ownership.mutex.Unlock()
	ownership.epoch, ownership.owned = epoch, owned
}

// unreachablePeers fails all requests to other hosts.
type unreachablePeers struct{}

var errUnreachable = errors.New("no other host")

func (unreachablePeers) RequestTokens(context.Context, string, int, admission.QuotaRequestBatch) (admission.GrantBatch, error) {
	return admission.GrantBatch{}, errUnreachable
}

func (unreachablePeers) RequestTransfer(context.Context, string, int, admission.TransferMessage) (admission.TransferResponse, error) {
	return admission.TransferResponse{}, errUnreachable
}

// TestAccrualDelay guards against an account that accrues tokens while earlier
// grants can still be spent. The first coordinator accrues at once, one that lost
// the proof of ownership for a moment after its own grants have expired, and one
// that took over after the lease and grants of its predecessor.
func TestAccrualDelay(t *testing.T) {
	tests := []struct {
		name      string
		interrupt func(ownership *fakeOwnership, requestTokens func() float64)
		wait      time.Duration
	}{
		{"the proof of ownership is lost for a moment", func(ownership *fakeOwnership, requestTokens func() float64) {
			ownership.set(1, false)
			requestTokens()
			ownership.set(1, true)
		}, workspace.GrantTTL},
		{"another host took over", func(ownership *fakeOwnership, _ func() float64) { ownership.set(3, true) }, workspace.TakeoverWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			ownership := &fakeOwnership{epoch: 1, owned: true}
			limiter := admission.NewLimiter(clock, metric.Discard(), "a", "a-1", unreachablePeers{}, ownership)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go limiter.Run(ctx)
			limiter.SetText(&configuration.Text{
				DataCentres: []configuration.DataCentre{{Name: "a", Hosts: 1}},
				Workspaces:  []configuration.Workspace{{Name: "w", Rate: 10, Burst: 10}},
			})
			requestTokens := func() float64 {
				response := limiter.GrantTokens(admission.QuotaRequestBatch{Requests: []workspace.QuotaRequest{{Workspace: "w", Need: 100}}})
				return response.Grants[0].Amount
			}
			requestTokens()
			clock.Advance(5 * time.Second)
			is.Equal(requestTokens(), 10.0) // the whole burst is granted
			test.interrupt(ownership, requestTokens)
			is.Equal(requestTokens(), 0.0)
			clock.Advance(test.wait)
			is.Equal(requestTokens(), 0.0) // the earlier grant may still be spent
			clock.Advance(100 * time.Millisecond)
			amount := requestTokens()
			is.True(amount > 0 && amount <= 1.01)
		})
	}
}
