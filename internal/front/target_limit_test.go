package front

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/capacity"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/placement"
	"github.com/godwitspread/godwitspread/internal/request"
	"github.com/godwitspread/godwitspread/internal/route"
)

// emptyConfiguration is the configuration of a host that knows no version.
type emptyConfiguration struct{}

func (emptyConfiguration) Table() *route.Table { return nil }
func (emptyConfiguration) Current() bool       { return false }

// TestObserveLimit guards against a limit that is lifted by a response which says
// nothing about it, or set by another target at the same address.
func TestObserveLimit(t *testing.T) {
	target := placement.Target{ID: "t", StartedAtMillis: 5}
	named := request.Response{Signed: true, LimitState: request.NamedLimit, Limit: 3}
	tests := []struct {
		name    string
		heads   []request.Response
		limited bool
	}{
		{"response names a limit", []request.Response{named}, true},
		{"refusal names a limit", []request.Response{{NotRun: true, LimitState: request.NamedLimit, Limit: 3}}, true},
		{"next response names none", []request.Response{named, {Signed: true}}, false},
		{"refusal names none", []request.Response{named, {Signed: true, NotRun: true}}, true},
		{"response without a signature names none", []request.Response{named, {}}, true},
		{"limit cannot be read", []request.Response{named, {Signed: true, LimitState: request.UnreadableLimit}}, true},
		{"another target at the address names a limit", []request.Response{{Target: "other", NotRun: true, LimitState: request.NamedLimit, Limit: 3}}, false},
		{"another target at the address names none", []request.Response{named, {Target: "other", Signed: true}}, true},
	}
	for _, test := range tests {
		is := is.New(t)
		clock, board := clockwork.NewFakeClockAt(time.Unix(1000, 0)), capacity.NewBoard()
		handler := New(Dependencies{Clock: clock, Logger: &log.Logger{Handler: discard.Default}, Metrics: metric.Discard(), TargetLimits: board, Configuration: emptyConfiguration{}})
		exchange := &exchange{handler: handler, request: &request.Request{Attempt: "a"}, arrivedAt: clock.Now()}
		for _, head := range test.heads {
			exchange.observeLimit(target, head)
			clock.Advance(time.Second)
		}
		rate, limited := board.Limit("t", 5)
		is.Equal(limited, test.limited) // test.name
		if limited {
			is.Equal(rate, 3.0)
		}
	}
}
