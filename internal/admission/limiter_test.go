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

// tenancy is what a limiter can prove to hold.
type tenancy struct {
	mutex sync.Mutex
	epoch uint64
	ok    bool
}

func (tenancy *tenancy) Held(int) (uint64, bool) {
	tenancy.mutex.Lock()
	defer tenancy.mutex.Unlock()
	return tenancy.epoch, tenancy.ok
}

func (tenancy *tenancy) set(epoch uint64, ok bool) {
	tenancy.mutex.Lock()
	defer tenancy.mutex.Unlock()
	tenancy.epoch, tenancy.ok = epoch, ok
}

// nobody is a fleet without other hosts.
type nobody struct{}

var errAlone = errors.New("no other host")

func (nobody) Ask(context.Context, string, int, admission.AskMessage) (admission.AskAnswer, error) {
	return admission.AskAnswer{}, errAlone
}

func (nobody) Collect(context.Context, string, int, admission.CollectMessage) (admission.CollectAnswer, error) {
	return admission.CollectAnswer{}, errAlone
}

// TestHolderWaits checks when an account starts to accrue: at once for the
// first holder, after its own grants for one that had lost its proof, and
// after the lease of an earlier one.
func TestHolderWaits(t *testing.T) {
	tests := []struct {
		name   string
		change func(tenancy *tenancy, ask func() float64)
		wait   time.Duration
	}{
		{"proof lost for a moment", func(tenancy *tenancy, ask func() float64) {
			tenancy.set(1, false)
			ask()
			tenancy.set(1, true)
		}, workspace.GrantTTL},
		{"taken over", func(tenancy *tenancy, _ func() float64) { tenancy.set(3, true) }, workspace.TakeoverWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			clock := clockwork.NewFakeClock()
			tenancy := &tenancy{epoch: 1, ok: true}
			limiter := admission.NewLimiter(clock, metric.Discard(), "a", "a-1", nobody{}, tenancy)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go limiter.Run(ctx)
			limiter.SetText(&configuration.Text{
				DataCentres: []configuration.DataCentre{{Name: "a", Hosts: 1}},
				Workspaces:  []configuration.Workspace{{Name: "w", Rate: 10, Burst: 10}},
			})
			ask := func() float64 {
				answer := limiter.ServeAsk(admission.AskMessage{Asks: []workspace.Ask{{Workspace: "w", Need: 100}}})
				return answer.Grants[0].Amount
			}
			ask()
			clock.Advance(5 * time.Second)
			is.Equal(ask(), 10.0) // the whole burst is out now
			test.change(tenancy, ask)
			is.Equal(ask(), 0.0)
			clock.Advance(test.wait)
			is.Equal(ask(), 0.0) // what was granted before may still be spent
			clock.Advance(100 * time.Millisecond)
			amount := ask()
			is.True(amount > 0 && amount <= 1.01)
		})
	}
}
