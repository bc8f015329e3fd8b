package quota

import (
	"math"
	"time"
)

// Limit is the rate limit of a workspace across all hosts: no interval of the
// window's length admits more requests than the rate allows in that time plus
// the burst.
type Limit struct {
	Rate   float64       `msgpack:"r"` // requests a second
	Burst  float64       `msgpack:"b"`
	Window time.Duration `msgpack:"w"`
	// Reserve is the number of requests beyond the limit that active programs
	// may use in a window.
	Reserve float64 `msgpack:"s,omitempty"`
}

// LimitSettings defines the deployment's rate window and tolerance. All hosts
// together may exceed a limit by the overage plus the slack.
type LimitSettings struct {
	Window  time.Duration
	Overage float64 // fraction of a limit
	Slack   float64 // requests
}

// reserveShare is the fraction of the tolerance that active programs may use.
// The rest covers accounts that move between hosts.
const reserveShare = 0.4

// Limit returns the limit of a workspace with the given rate and burst.
func (settings LimitSettings) Limit(rate, burst float64) Limit {
	if settings.Window <= 0 {
		settings.Window = time.Second
	}
	return Limit{
		Rate: rate, Burst: burst, Window: settings.Window,
		Reserve: reserveShare * (settings.Overage*(rate*settings.Window.Seconds()+burst) + settings.Slack),
	}
}

// maxWindow bounds the memory of an account.
const maxWindow = 10 * time.Minute

// valid reports whether the limit of another host's request can be enforced.
func (limit Limit) valid() bool {
	for _, value := range []float64{limit.Rate, limit.Burst, limit.Reserve} {
		if !(value >= 0 && value <= math.MaxInt32) {
			return false
		}
	}
	return limit.Window >= slotDuration && limit.Window <= maxWindow
}

// capacity returns the number of requests that the limit allows in a window.
func (limit Limit) capacity() float64 { return limit.Rate*limit.Window.Seconds() + limit.Burst }

// allowance returns the requests that an account grants whatever others have granted. The
// predecessor may have used the reserve, and a second successor in the same window grants
// the allowance again: together they stay within the tolerance. At least one request, so
// that the smallest limits are not blocked for a window.
func (limit Limit) allowance() float64 { return max(1, allowanceShare*limit.Reserve/reserveShare) }

// sustainedRate returns the requests a second that the limit allows
// indefinitely.
func (limit Limit) sustainedRate() float64 { return limit.capacity() / limit.Window.Seconds() }

// Policy configures how an account admits programs.
type Policy struct {
	Horizon     time.Duration // interval for which the needs of active programs are forecast
	CommitRatio float64       // maximum ratio of committed requests to the capacity available within the horizon
	MaxDelay    time.Duration // longest delay of a request of an active program; slightly less than its deadline allows
}

// DefaultPolicy is the default policy of hosts. Committed requests may exceed the
// capacity available within the next second by a tenth, and a request of an active
// program is delayed by at most 400 ms.
var DefaultPolicy = Policy{CommitRatio: 1.1, Horizon: time.Second, MaxDelay: 400 * time.Millisecond}

// AdmissionRequest asks the coordinator of a workspace whether a request may
// run.
type AdmissionRequest struct {
	Workspace       string        `msgpack:"w"`
	Limit           Limit         `msgpack:"l"`
	Program         string        `msgpack:"p,omitempty"`
	Route           string        `msgpack:"o,omitempty"`
	Urgent          bool          `msgpack:"g,omitempty"` // the workspace or else the route has the highest priority
	Refunds         []Use         `msgpack:"u,omitempty"` // of earlier admitted requests of the workspace that have not run
	ProgramTimeLeft time.Duration `msgpack:"e,omitempty"` // until the program's deadline
	// Report is what the asking host was admitted for in the window, until the
	// coordinator's account has it.
	Report    *Report `msgpack:"h,omitempty"`
	Forwarded bool    `msgpack:"f,omitempty"` // by the previous holder of the account
}

// AdmissionResponse is the coordinator's decision on a request.
type AdmissionResponse struct {
	Admitted   bool          `msgpack:"a,omitempty"`
	Delay      time.Duration `msgpack:"d,omitempty"` // before the admitted request may run
	RetryAfter time.Duration `msgpack:"t,omitempty"` // after which a refused request may be retried
	// NotCoordinator reports that the responding host does not keep the
	// workspace's account.
	NotCoordinator bool `msgpack:"e,omitempty"`
	Use            Use  `msgpack:"u"` // of the admitted request
	// Account is the ID of the account that has decided.
	Account uint64 `msgpack:"k,omitempty"`
}

// Use identifies where an account has recorded an admitted request, so that a refund is
// recorded at the same place. The zero value identifies none.
type Use struct {
	Account uint64 `msgpack:"a,omitempty"`
	Slot    int64  `msgpack:"s,omitempty"`
}
