package quota

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// Coordinators locates and calls the coordinator of a workspace: the host that
// keeps its quota account.
type Coordinators interface {
	Coordinator(workspace string) (address string, self bool)
	RequestAdmission(ctx context.Context, address string, request AdmissionRequest) (AdmissionResponse, error)
	// CoordinatedFor returns for how long no other host can have granted quota of a
	// workspace that this host coordinates, as far as it knows. A host that asks for the
	// account does not count.
	CoordinatedFor(workspace, asking string) time.Duration
	// Predecessor returns the host that coordinated a workspace if this one does now, and
	// Successor the one that does when this one has left. found is false if there is
	// none, or it cannot hand accounts over.
	Predecessor(workspace string) (address string, found bool)
	Successor(workspace string) (address string, found bool)
	// CanAdopt reports whether a host takes accounts over.
	CanAdopt(address string) bool
	TakeAccount(ctx context.Context, address, workspace string) (TakeResponse, error)
	HandOver(ctx context.Context, address string, states []*AccountState) error
	// PushReports tells a coordinator what this host was admitted for.
	PushReports(ctx context.Context, address string, reports []WorkspaceReport) error
	// Backup returns the host that keeps a copy of this host's account of a workspace: the
	// next one in rendezvous order, in another data centre if there is one, but none of the
	// avoided ones. found is false if no live host can keep copies.
	Backup(workspace string, avoided []string) (address string, found bool)
	// RemoteBackup returns the host that would keep the copy of a coordinator in this data
	// centre, if that is in another one.
	RemoteBackup(workspace string) (address string, found bool)
	// Announce sends announcements to a backup.
	Announce(ctx context.Context, address string, messages []Announcement) ([]Acknowledgement, error)
	// SilentFor returns for how long the host at an address has not been alive.
	SilentFor(address string) time.Duration
	// CopiesEnabled reports whether this host keeps and asks for copies of accounts.
	CopiesEnabled() bool
	// Older reports whether a remembered host keeps no copies of accounts.
	Older() bool
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
	logger       log.Interface
	metrics      *metric.Metrics
	id           uint64 // of this host in its reports
	started      time.Time

	mutex    sync.Mutex
	moves    moves
	admitted map[string]*admissions // of this host, by workspace
	refunds  map[string][]Use       // of admitted requests that have not run, by workspace
	accounts map[string]*Account    // of the workspaces that this host coordinates
	fallback map[string]*Account    // used while the coordinator is unreachable
	profiles *RouteProfiles
	early    map[string][]earlyReport // by workspace, for accounts that do not exist yet
	// earlyReports is the number of reports in early.
	earlyReports int
	copies       copies
	outdated     map[string][]Announcement // releases of copies whose accounts have moved, by the address of the backup
	announcedAt  time.Time
}

// NewLimiter returns a Limiter without accounts.
func NewLimiter(coordinators Coordinators, clock clockwork.Clock, logger log.Interface, metrics *metric.Metrics) *Limiter {
	return &Limiter{
		coordinators: coordinators, clock: clock, logger: logger, metrics: metrics, id: rand.Uint64(), started: clock.Now(),
		moves: newMoves(), admitted: make(map[string]*admissions), refunds: make(map[string][]Use),
		accounts: make(map[string]*Account), fallback: make(map[string]*Account), profiles: NewRouteProfiles(),
		early: make(map[string][]earlyReport), copies: newCopies(), outdated: make(map[string][]Announcement),
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
	if own, ok := limiter.admitted[workspace]; ok {
		own.refund(use)
	}
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
	request.Report = limiter.report(request, address)
	var response AdmissionResponse
	var err error
	if self || limiter.adopted(request.Workspace) {
		response = limiter.Serve(request)
	} else {
		response, err = limiter.coordinators.RequestAdmission(ctx, address, request)
	}
	if err == nil && !response.NotCoordinator {
		if self {
			address = ""
		}
		limiter.observe(request, response, true, address)
		return response
	}
	limiter.metrics.CountRetry("quota_keeper_lost")
	request.Report = limiter.report(request, "")
	response = limiter.serveFallback(request)
	limiter.observe(request, response, false, "")
	return response
}

// report returns what this host was admitted for, unless the account of the coordinator
// has it.
func (limiter *Limiter) report(request AdmissionRequest, address string) *Report {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	own, ok := limiter.admitted[request.Workspace]
	if !ok {
		return nil
	}
	return own.report(limiter.id, address, request.Limit.Window, limiter.clock.Now())
}

// observe records an admitted request, and which account has decided on it, at the host of
// an address if it is not this one.
func (limiter *Limiter) observe(request AdmissionRequest, response AdmissionResponse, byCoordinator bool, address string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	own, ok := limiter.admitted[request.Workspace]
	if !ok {
		own = newAdmissions(request.Limit.Window)
		limiter.admitted[request.Workspace] = own
	}
	if response.Admitted && response.Use.Account != 0 {
		own.record(response.Use, limiter.clock.Now().Add(response.Delay))
	}
	if byCoordinator {
		own.observe(cmp.Or(response.Account, response.Use.Account))
		own.keeper = address
	}
}

// Serve decides on an admission request as the coordinator of the workspace, or as the
// host that has taken its account over. It forwards the request if the account has just
// moved to another host.
func (limiter *Limiter) Serve(request AdmissionRequest) AdmissionResponse {
	if response, served := limiter.forward(request); served {
		return response
	}
	if _, self := limiter.coordinators.Coordinator(request.Workspace); !self && !limiter.adopted(request.Workspace) {
		return AdmissionResponse{NotCoordinator: true}
	}
	if !request.Limit.valid() {
		limiter.metrics.Count("malformed_admission_requests")
		return AdmissionResponse{RetryAfter: maxRetryAfter}
	}
	horizon := limiter.obtain(request.Workspace, request.Limit.Window)
	const announcements = 2 // for which a request waits; one may be used up by others
	for range announcements {
		response, covered := limiter.serve(request, horizon, false)
		if covered {
			return response
		}
		limiter.cover(request.Workspace)
	}
	response, _ := limiter.serve(request, horizon, true)
	return response
}

// serve decides with this host's account. Unless the decision is final, covered is false if
// the backup must first learn of what the account grants.
func (limiter *Limiter) serve(request AdmissionRequest, horizon time.Duration, final bool) (response AdmissionResponse, covered bool) {
	reachable, _ := limiter.coordinators.ReachableShare()
	limiter.lockSettled(request.Workspace)
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	account, kept := limiter.accounts[request.Workspace]
	if _, moved := limiter.moves.target(request.Workspace, now); !kept && moved {
		return AdmissionResponse{NotCoordinator: true}, true
	}
	if !kept {
		account = limiter.create(request, limiter.profiles, horizon, reachable, now)
		limiter.keep(request.Workspace, account)
		limiter.applyEarly(request.Workspace, account, now)
		limiter.removeEarly(request.Workspace)
		limiter.logNew(request.Workspace, account, horizon, reachable)
	}
	if limiter.coordinators.CopiesEnabled() {
		account.observeShare(reachable)
	}
	if bound := &account.window.bound; !final && !bound.accruing && bound.remaining() < 1 {
		return AdmissionResponse{}, false
	}
	response = account.Serve(request, reachable, now)
	response.Account = account.id
	return response, true
}

// create returns the account of a workspace for which no live host has one, or a copy.
func (limiter *Limiter) create(request AdmissionRequest, profiles *RouteProfiles, horizon time.Duration, share float64, now time.Time) *Account {
	accrued := limiter.accrued(horizon, request.Limit.Window)
	if !limiter.coordinators.CopiesEnabled() || limiter.coordinators.Older() {
		return NewAccruing(request.Limit, DefaultPolicy, profiles, horizon, accrued, share, now)
	}
	return NewSuccessor(request.Limit, DefaultPolicy, profiles, horizon, accrued, share, now)
}

// createFallback returns an account that this host uses while the coordinator is unreachable.
func (limiter *Limiter) createFallback(request AdmissionRequest, profiles *RouteProfiles, share float64, now time.Time) *Account {
	if !limiter.coordinators.CopiesEnabled() {
		return NewAccruing(request.Limit, DefaultPolicy, profiles, 0, 0, share, now)
	}
	return NewSuccessor(request.Limit, DefaultPolicy, profiles, 0, 0, share, now)
}

// keep makes an account the one of a workspace. With copies it grants nothing before its
// backup knows of it. The caller must hold the mutex.
func (limiter *Limiter) keep(workspace string, account *Account) {
	limiter.restrict(account)
	limiter.accounts[workspace] = account
}

// restrict makes an account wait for the acknowledgement of its backup, if there are copies.
func (limiter *Limiter) restrict(account *Account) {
	bound := &account.window.bound
	if !limiter.coordinators.CopiesEnabled() {
		*bound = unbounded()
		return
	}
	bound.close(account.limit.capacity(), account.limit.Window, bound.recorded)
}

// EvictAccounts evicts idle accounts, and hands those over that another host coordinates
// now.
func (limiter *Limiter) EvictAccounts() {
	limiter.mutex.Lock()
	now := limiter.clock.Now()
	moving := make(map[string][]string) // workspaces, by the address of their coordinator
	for workspace, account := range limiter.accounts {
		address, self := limiter.coordinators.Coordinator(workspace)
		switch {
		case now.Sub(account.updated) > accountIdleTimeout:
			delete(limiter.accounts, workspace)
		case !self && !limiter.moves.adopted(workspace, now):
			moving[address] = append(moving[address], workspace)
		}
	}
	for workspace, account := range limiter.fallback {
		if now.Sub(account.updated) > fallbackIdleTimeout {
			delete(limiter.fallback, workspace)
		}
	}
	for workspace, own := range limiter.admitted {
		if own.expire(now); len(own.uses) == 0 {
			delete(limiter.admitted, workspace)
		}
	}
	limiter.moves.expire(now)
	limiter.expireEarly(now)
	limiter.copies.expire(now)
	orphans := limiter.orphans()
	limiter.mutex.Unlock()
	limiter.handOverAll(moving)
	limiter.passCopies(orphans)
}

// accrued returns the time for which a new account is granted quota at once. A host that
// has just started grants the limit only as time goes by.
func (limiter *Limiter) accrued(horizon, window time.Duration) time.Duration {
	if limiter.clock.Since(limiter.started) < window {
		return 0
	}
	return horizon
}

// serveFallback decides without the coordinator, with a part of this host's share.
func (limiter *Limiter) serveFallback(request AdmissionRequest) AdmissionResponse {
	_, single := limiter.coordinators.ReachableShare()
	share := single * fallbackShare
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	account, kept := limiter.fallback[request.Workspace]
	if !kept {
		account = limiter.createFallback(request, limiter.profiles, share, now)
		limiter.fallback[request.Workspace] = account
	}
	response := account.Serve(request, share, now)
	response.Account = account.id
	return response
}
