package quota

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// Coordinators locates and calls the coordinator of a workspace: the host that
// keeps its quota account.
type Coordinators interface {
	Coordinator(workspace string) (address string, self bool)
	RequestAdmission(ctx context.Context, address string, request AdmissionRequest) (AdmissionResponse, error)
	// ReachableShare returns the fraction of all hosts that are reachable from
	// this host, itself included, and the fraction that a single host makes up.
	ReachableShare() (reachable, single float64)
}

const (
	maxRefunds          = 256         // in one request, and kept for one workspace
	accountIdleTimeout  = time.Minute // after which the coordinator evicts an account
	fallbackIdleTimeout = time.Second // after which a fallback account is evicted
	// fallbackShare is the fraction of a single host's share of the limit that
	// it grants without the coordinator, which may still grant the whole limit
	// because it has not yet detected that this host is isolated.
	fallbackShare = 0.3
)

// Limiter admits requests on one host.
type Limiter struct {
	coordinators Coordinators
	clock        clockwork.Clock
	metrics      *metric.Metrics

	mutex    sync.Mutex
	refunds  map[string][]Use    // of admitted requests that have not run, by workspace
	accounts map[string]*Account // of the workspaces that this host coordinates
	fallback map[string]*Account // used while the coordinator is unreachable
	profiles *RouteProfiles
}

// NewLimiter returns a Limiter without accounts.
func NewLimiter(coordinators Coordinators, clock clockwork.Clock, metrics *metric.Metrics) *Limiter {
	return &Limiter{
		coordinators: coordinators, clock: clock, metrics: metrics, refunds: make(map[string][]Use),
		accounts: make(map[string]*Account), fallback: make(map[string]*Account), profiles: NewRouteProfiles(),
	}
}

// Admission is the decision on a request. Use is refunded if the admitted request does
// not run.
type Admission struct {
	Admitted   bool
	RetryAfter time.Duration // after which the caller may retry a refused request
	Use        Use
}

// Admit decides on a request and blocks until it may run.
func (limiter *Limiter) Admit(ctx context.Context, request AdmissionRequest) Admission {
	if request.Limit.Rate <= 0 {
		return Admission{Admitted: true}
	}
	request.Refunds = limiter.takeRefunds(request.Workspace)
	response := limiter.decide(ctx, request)
	if response.Delay > 0 {
		limiter.metrics.ObserveLatency("rate_wait", response.Delay)
		select {
		case <-limiter.clock.After(response.Delay):
		case <-ctx.Done():
			limiter.Refund(request.Workspace, response.Use)
			return Admission{RetryAfter: minRetryAfter}
		}
	}
	return Admission{Admitted: response.Admitted, RetryAfter: response.RetryAfter, Use: response.Use}
}

// Refund returns the quota of an admitted request that has not run. If another host
// keeps the account, the refund reaches it with the next admission request of the
// workspace.
func (limiter *Limiter) Refund(workspace string, use Use) {
	if use.Account == 0 {
		return
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, accounts := range []map[string]*Account{limiter.accounts, limiter.fallback} {
		if account, ok := accounts[workspace]; ok && account.id == use.Account {
			account.refund(use)
			return
		}
	}
	if kept := limiter.refunds[workspace]; len(kept) < maxRefunds {
		limiter.refunds[workspace] = append(kept, use)
		return
	}
	limiter.metrics.Count("quota_refunds_dropped")
}

func (limiter *Limiter) takeRefunds(workspace string) []Use {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	refunds := limiter.refunds[workspace]
	delete(limiter.refunds, workspace)
	return refunds
}

// decide obtains a decision from the coordinator, or from a fallback account on
// this host if the coordinator is unreachable.
func (limiter *Limiter) decide(ctx context.Context, request AdmissionRequest) AdmissionResponse {
	address, self := limiter.coordinators.Coordinator(request.Workspace)
	if self {
		return limiter.Serve(request)
	}
	response, err := limiter.coordinators.RequestAdmission(ctx, address, request)
	if err == nil && !response.NotCoordinator {
		return response
	}
	limiter.metrics.CountRetry("quota_keeper_lost")
	_, single := limiter.coordinators.ReachableShare()
	return limiter.serve(limiter.fallback, request, single*fallbackShare)
}

// Serve decides on an admission request as the coordinator of the workspace.
func (limiter *Limiter) Serve(request AdmissionRequest) AdmissionResponse {
	if _, self := limiter.coordinators.Coordinator(request.Workspace); !self {
		return AdmissionResponse{NotCoordinator: true}
	}
	if !request.Limit.valid() {
		limiter.metrics.Count("malformed_admission_requests")
		return AdmissionResponse{RetryAfter: maxRetryAfter}
	}
	reachable, _ := limiter.coordinators.ReachableShare()
	return limiter.serve(limiter.accounts, request, reachable)
}

// EvictAccounts evicts idle accounts and accounts that another host coordinates
// now, because this host does not know which requests the other host has
// admitted since.
func (limiter *Limiter) EvictAccounts() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	for workspace, account := range limiter.accounts {
		if _, self := limiter.coordinators.Coordinator(workspace); !self || now.Sub(account.updated) > accountIdleTimeout {
			delete(limiter.accounts, workspace)
		}
	}
	for workspace, account := range limiter.fallback {
		if now.Sub(account.updated) > fallbackIdleTimeout {
			delete(limiter.fallback, workspace)
		}
	}
}

func (limiter *Limiter) serve(accounts map[string]*Account, request AdmissionRequest, share float64) AdmissionResponse {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	account, ok := accounts[request.Workspace]
	if !ok {
		account = NewAccount(request.Limit, DefaultPolicy, limiter.profiles, now)
		accounts[request.Workspace] = account
	}
	return account.Serve(request, share, now)
}
