package workspace

import (
	"math"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Admission is the outcome of a waiting request. A nil Refusal admits it.
type Admission struct {
	ID      uint64
	Refusal *refusal.Refusal
}

// LocalLimiter admits the requests that arrive at one host. It spends tokens
// that the coordinators have granted.
type LocalLimiter struct {
	quotas       map[string]*localQuota
	active       map[string]*localQuota // quotas with recent requests
	lastEviction time.Time
}

// localQuota is the state of one workspace on a host.
type localQuota struct {
	grants      []grant
	waiters     []waiter
	requesting  bool
	requestedAt time.Time
	retryAt     time.Time
	usages      []Usage   // not reported yet
	lastSpend   time.Time // time of the last spent token
	demand      demand
	rate        float64
	lastArrival time.Time
}

// grant is the unspent rest of a coordinator's grant.
type grant struct {
	id          uint64
	coordinator string
	amount      float64
	expires     time.Time
}

type waiter struct {
	id       uint64
	deadline time.Time
}

const (
	// MaxWait is the longest time that a request waits for tokens.
	MaxWait = 3500 * time.Millisecond
	// requestTimeout is the time after which a token request without a
	// response is considered lost.
	requestTimeout     = 700 * time.Millisecond
	minRequestInterval = 40 * time.Millisecond
	prefetchHorizon    = 250 * time.Millisecond // period of demand that is requested in advance
	quotaIdleTimeout   = time.Minute
	quotaActiveTimeout = 2 * time.Second
	minWaitingLimit    = 16
	prefetchThreshold  = 0.5 // expected requests from which tokens are requested in advance
	// reportThreshold is the number of spent tokens that are reported even if
	// no tokens are needed. A rate below it lowers the threshold to the rate,
	// because the coordinator's account doesn't accrue the tokens of a loan
	// that it doesn't know to be spent.
	reportThreshold = 4.0
	// minNeed is the need, in tokens, up to which no message is sent.
	minNeed = 0.05
)

// NewLocalLimiter returns a limiter without tokens.
func NewLocalLimiter() *LocalLimiter {
	return &LocalLimiter{quotas: make(map[string]*localQuota), active: make(map[string]*localQuota)}
}

// Len returns the number of workspaces with state on this host.
func (limiter *LocalLimiter) Len() int { return len(limiter.quotas) }

// Admit queues a request for admission and returns the requests that are admitted
// or refused now, which may include earlier ones. Rate is the rate of the
// workspace over all hosts.
func (limiter *LocalLimiter) Admit(now time.Time, id uint64, workspace string, rate float64, deadline time.Time) []Admission {
	quota, ok := limiter.quotas[workspace]
	if !ok {
		quota = &localQuota{}
		limiter.quotas[workspace] = quota
	}
	limiter.active[workspace] = quota
	quota.lastArrival = now
	quota.rate = rate
	quota.demand.add(now, 1)
	if len(quota.waiters) >= max(minWaitingLimit, int(rate*MaxWait.Seconds())) {
		return []Admission{{ID: id, Refusal: rateExceeded(workspace)}}
	}
	if limit := now.Add(MaxWait); deadline.After(limit) {
		deadline = limit
	}
	quota.waiters = append(quota.waiters, waiter{id: id, deadline: deadline})
	return quota.serveWaiters(now, workspace, nil)
}

func rateExceeded(workspace string) *refusal.Refusal {
	return refusal.New(refusal.RateExceeded, "workspace %q is over its rate and burst", workspace).WithRetryAfter(time.Second)
}

// serveWaiters admits waiting requests in order and refuses those past their
// deadline.
func (quota *localQuota) serveWaiters(now time.Time, workspace string, admissions []Admission) []Admission {
	served := 0
	for _, first := range quota.waiters {
		if now.Before(first.deadline) && !quota.spend(now) {
			break
		}
		admission := Admission{ID: first.id}
		if !now.Before(first.deadline) {
			admission.Refusal = rateExceeded(workspace)
		}
		admissions = append(admissions, admission)
		served++
	}
	quota.waiters = slices.Delete(quota.waiters, 0, served)
	return admissions
}

// spend removes one token from the grants, oldest first, and reports whether
// there was a whole token.
func (quota *localQuota) spend(now time.Time) bool {
	quota.removeExpired(now)
	if quota.grantedTokens() < 1-roundingTolerance {
		return false
	}
	need := 1.0
	for index := range quota.grants {
		grant := &quota.grants[index]
		taken := math.Min(need, grant.amount)
		grant.amount -= taken
		need -= taken
		quota.recordUsage(*grant, taken)
	}
	quota.lastSpend = now
	return true
}

// roundingTolerance allows for rounding errors in sums of fractions of a token.
const roundingTolerance = 1e-9

// recordUsage adds spent tokens to the next usage report.
func (quota *localQuota) recordUsage(grant grant, spent float64) {
	if spent <= 0 {
		return
	}
	for index := range quota.usages {
		if usage := &quota.usages[index]; usage.Grant == grant.id && usage.Coordinator == grant.coordinator {
			usage.Spent += spent
			return
		}
	}
	quota.usages = append(quota.usages, Usage{Grant: grant.id, Coordinator: grant.coordinator, Spent: spent})
}

func (quota *localQuota) grantedTokens() float64 {
	var sum float64
	for _, grant := range quota.grants {
		sum += grant.amount
	}
	return sum
}

// unreportedTokens returns the number of spent tokens not reported yet.
func (quota *localQuota) unreportedTokens() float64 {
	var sum float64
	for _, usage := range quota.usages {
		sum += usage.Spent
	}
	return sum
}

func (quota *localQuota) removeExpired(now time.Time) {
	quota.grants = slices.DeleteFunc(quota.grants, func(grant grant) bool {
		return !now.Before(grant.expires) || grant.amount <= 0
	})
}

// AddGrant adds the tokens of a coordinator's grant. SentAt is the time before the
// token request was sent.
func (limiter *LocalLimiter) AddGrant(now, sentAt time.Time, granted Grant) []Admission {
	quota, ok := limiter.quotas[granted.Workspace]
	if !ok {
		return nil
	}
	quota.requesting = false
	limiter.active[granted.Workspace] = quota
	quota.retryAt = now.Add(max(minRequestInterval, granted.RetryAfter))
	if until := sentAt.Add(GrantTTL); granted.Amount > 0 && now.Before(until) {
		quota.grants = append(quota.grants, grant{
			id: granted.ID, coordinator: granted.Coordinator, amount: granted.Amount, expires: until,
		})
	}
	return quota.serveWaiters(now, granted.Workspace, nil)
}

// RequestFailed records that a token request got no response.
func (limiter *LocalLimiter) RequestFailed(now time.Time, workspace string) {
	if quota, ok := limiter.quotas[workspace]; ok {
		quota.requesting = false
		quota.retryAt = now.Add(minRequestInterval)
	}
}

// Requests returns the token requests to send to the coordinators. The caller
// should report the outcome of each with AddGrant or RequestFailed. Late grants are
// accepted until they expire.
func (limiter *LocalLimiter) Requests(now time.Time) []QuotaRequest {
	var requests []QuotaRequest
	for name, quota := range limiter.active {
		if request, ok := quota.nextRequest(now, name); ok {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(a, b QuotaRequest) int {
		if a.Workspace < b.Workspace {
			return -1
		}
		return 1
	})
	return requests
}

func (quota *localQuota) nextRequest(now time.Time, workspace string) (QuotaRequest, bool) {
	if quota.requesting && now.Sub(quota.requestedAt) < requestTimeout || now.Before(quota.retryAt) {
		return QuotaRequest{}, false
	}
	quota.removeExpired(now)
	prefetch := math.Min(quota.demand.rate(now), quota.rate) * prefetchHorizon.Seconds()
	if prefetch < prefetchThreshold {
		prefetch = 0 // the tokens would usually expire unspent
	}
	need := float64(len(quota.waiters)) + prefetch - quota.grantedTokens()
	if now.Sub(quota.lastSpend) >= GrantTTL {
		// The loans have expired, so the coordinator needs no report.
		quota.usages = nil
	}
	urgent := len(quota.waiters) > 0 || need > prefetch/2 && need > minNeed
	if !urgent && quota.unreportedTokens() < max(min(reportThreshold, quota.rate), prefetch) {
		return QuotaRequest{}, false
	}
	quota.requesting = true
	quota.requestedAt = now
	request := QuotaRequest{Workspace: workspace, Need: math.Max(0, need), Usages: quota.usages}
	if len(quota.waiters) > 0 {
		request.MinAmount = math.Max(0, 1-quota.grantedTokens())
	}
	quota.usages = nil
	return request, true
}

// evictIdle removes idle workspaces, at most once in half of quotaIdleTimeout.
func (limiter *LocalLimiter) evictIdle(now time.Time) {
	if now.Sub(limiter.lastEviction) < quotaIdleTimeout/2 {
		return
	}
	limiter.lastEviction = now
	for name, quota := range limiter.quotas {
		if len(quota.waiters) == 0 && now.Sub(quota.lastArrival) > quotaIdleTimeout {
			delete(limiter.quotas, name)
			delete(limiter.active, name)
		}
	}
}

// Withdraw removes a waiting request.
func (limiter *LocalLimiter) Withdraw(workspace string, id uint64) {
	if quota, ok := limiter.quotas[workspace]; ok {
		quota.waiters = slices.DeleteFunc(quota.waiters, func(waiter waiter) bool { return waiter.id == id })
	}
}

// Tick refuses requests that have waited too long and removes the state of idle
// workspaces.
func (limiter *LocalLimiter) Tick(now time.Time) []Admission {
	var admissions []Admission
	for name, quota := range limiter.active {
		admissions = quota.serveWaiters(now, name, admissions)
		if len(quota.waiters) == 0 && !quota.requesting && now.Sub(quota.lastArrival) > quotaActiveTimeout {
			delete(limiter.active, name)
		}
	}
	limiter.evictIdle(now)
	slices.SortFunc(admissions, func(a, b Admission) int { return int(a.ID) - int(b.ID) })
	return admissions
}
