// Package quota limits the request rate of each workspace across all hosts.
// One host, the coordinator, keeps the quota account of a workspace; the other
// hosts send their admission requests to it.
package quota

import (
	"math/rand/v2"
	"time"
)

const (
	initialGrant            = 100 * time.Millisecond // part of the window for which a new account is granted quota; the previous coordinator may have used the rest
	programTimeout          = 4 * time.Second        // without requests, after which a program counts as ended
	maxRequestGap           = 900 * time.Millisecond // without requests, after which no further ones of a program are forecast
	initialRequests         = 10                     // per program, assumed until one has ended on the route
	initialDuration         = 2 * time.Second        // of a program, assumed until one has ended on the route
	initialTimeLeftFraction = 0.6                    // of the time to its deadline that a program uses, assumed until one has ended on the route
	typicalRequestGap       = 250 * time.Millisecond // between requests of a program; a forecast for an active program covers at least this interval
	minDuration             = 500 * time.Millisecond
	profileWeight           = 0.1 // of the newest program in the moving averages
	minRetryAfter           = 60 * time.Millisecond
	maxRetryAfter           = 2 * time.Second
)

// Account tracks the usage of one workspace against its limit, and the capacity
// committed to its active programs. A started program needs further requests
// until it ends, and a program that is refused midway wastes the requests that
// it has used. New programs are therefore admitted only while the forecast need
// of the active ones leaves room for theirs.
type Account struct {
	id         uint64 // of the window; the uses of another one cannot be refunded
	policy     Policy
	limit      Limit
	window     *window
	updated    time.Time
	lastExpiry time.Time
	merged     map[uint64]time.Time      // accounts whose uses this one has counted
	reported   map[hostAccount]time.Time // reports that this account has counted
	copied     map[uint64]copiedAccount  // accounts that this one has continued from a copy
	cover      cover                     // copy of this account
	programs   map[string]*program
	ordered    []*program // by start
	profiles   *RouteProfiles
	committed  float64 // requests that the active programs need within the horizon
	// urgentHeadroom is capacity that less urgent programs may not use, so that
	// the next urgent program is admitted.
	urgentHeadroom float64
}

// NewAccount returns an account that has been granted the quota of a small part
// of the window.
func NewAccount(limit Limit, policy Policy, profiles *RouteProfiles, now time.Time) *Account {
	return &Account{
		id: rand.Uint64(), limit: limit, policy: policy, window: newWindow(limit.Window, now.Add(-initialGrant)), updated: now, lastExpiry: now,
		merged: make(map[uint64]time.Time), reported: make(map[hostAccount]time.Time), copied: make(map[uint64]copiedAccount), programs: make(map[string]*program), profiles: profiles,
	}
}

// NewSuccessor returns the account of a host that has become the coordinator. Nothing is
// known of what was granted before the horizon. The account is granted its share of the
// limit for the accrued time at once.
func NewSuccessor(limit Limit, policy Policy, profiles *RouteProfiles, horizon, accrued time.Duration, share float64, now time.Time) *Account {
	account := NewAccount(limit, policy, profiles, now)
	// The window begins early enough for uses of other accounts, which may be added later.
	length := limit.Window + slotDuration
	window := newWindow(limit.Window, now.Add(-length-initialGrant))
	window.current = int64((length - min(max(0, accrued), length)) / slotDuration)
	window.advance(now, limit.capacity(), share)
	if horizon < limit.Window {
		since := window.current - int64(max(0, horizon)/slotDuration)
		window.history = newHistory(since, window.slots, share*limit.allowance())
	}
	account.window = window
	return account
}

// NewAccruing returns the account of a successor like NewSuccessor, but one whose quota
// accrues with time whatever was granted before the horizon. It does not use the reserve
// until the grants of the predecessor have left the window. It is used beside older hosts,
// which keep no copies of accounts.
func NewAccruing(limit Limit, policy Policy, profiles *RouteProfiles, horizon, accrued time.Duration, share float64, now time.Time) *Account {
	account := NewSuccessor(limit, policy, profiles, horizon, accrued, share, now)
	window := account.window
	if window.history.until > 0 {
		window.unknownBefore = window.history.until - window.slots
		window.history.clear()
	}
	return account
}

// complete reports whether all grants in the window are known.
func (account *Account) complete() bool {
	return !account.window.incompleteAt(account.window.current)
}

// Serve decides on an admission request. The share is the fraction of the limit
// that this account may grant; it is below 1 while some hosts are unreachable.
func (account *Account) Serve(request AdmissionRequest, share float64, now time.Time) AdmissionResponse {
	if request.Limit.Window != account.limit.Window {
		bound := account.window.bound
		account.id, account.window = rand.Uint64(), newWindow(request.Limit.Window, now)
		account.window.bound, account.cover.sequence = bound, 0
	}
	account.limit = request.Limit
	account.window.advance(now, account.limit.capacity(), share)
	for _, use := range request.Refunds {
		account.refund(use)
	}
	account.observeReport(request.Report, now)
	account.updated = now
	request.Program = programKey(request.Program)
	if now.Sub(account.lastExpiry) >= maxRequestGap/8 {
		account.expirePrograms(now)
	}
	if _, started := account.programs[request.Program]; started || request.Program == "" {
		return account.admitOngoing(request, now)
	}
	return account.admitNew(request, now)
}

// refund removes the use of a request that has not run, if it was recorded by this
// account and is still in the window. Recorded at a later time, the refund would outlast
// the use.
func (account *Account) refund(use Use) bool {
	return use.Account == account.id && account.window.remove(use.Slot)
}

// record counts the use of an admitted request after a delay.
func (account *Account) record(delay time.Duration) Use {
	return Use{Account: account.id, Slot: account.window.record(1, delay)}
}

// admitNew admits a new program if the forecast need of the active programs
// leaves room for its own.
func (account *Account) admitNew(request AdmissionRequest, now time.Time) AdmissionResponse {
	window, policy := account.window, account.policy
	available := window.available(0)
	if available < 1 {
		wait, _ := window.waitFor(1-available, 0, maxRetryAfter)
		return AdmissionResponse{RetryAfter: clampRetryAfter(wait)}
	}
	profile := account.profiles.forRoute(request.Route)
	newProgram := &program{id: request.Program, route: request.Route, rate: profile.rate(), requests: 1, started: now, lastRequest: now, timeLeft: request.ProgramTimeLeft}
	need := newProgram.need(profile, policy.Horizon, now)
	headroom := policy.CommitRatio*(available+window.freedWithin(policy.Horizon)) - account.committed - need
	if request.Urgent {
		account.urgentHeadroom = need
	} else {
		headroom -= account.urgentHeadroom
	}
	if headroom < 0 {
		return AdmissionResponse{RetryAfter: clampRetryAfter(time.Duration(-headroom / account.limit.sustainedRate() * float64(time.Second)))}
	}
	use := account.record(0)
	account.programs[request.Program] = newProgram
	account.ordered = append(account.ordered, newProgram)
	account.committed += need
	return AdmissionResponse{Admitted: true, Use: use}
}

// admitOngoing admits a request of an active program, or one without a program.
// It uses the limit first, then the reserve, then capacity that becomes
// available soon, for which the request is delayed.
func (account *Account) admitOngoing(request AdmissionRequest, now time.Time) AdmissionResponse {
	response := AdmissionResponse{Admitted: true}
	reserve := account.limit.Reserve
	if !account.window.fullyGranted() {
		// The tolerance that the reserve is part of must cover the requests that
		// other hosts admitted while this account was not granted the whole limit.
		reserve = 0
	}
	if available := account.window.available(reserve); available < 1 {
		wait, found := account.window.waitFor(1-available, reserve, account.policy.MaxDelay)
		if !found {
			return AdmissionResponse{RetryAfter: clampRetryAfter(wait)}
		}
		response.Delay = wait
	}
	response.Use = account.record(response.Delay)
	if program, ok := account.programs[request.Program]; ok {
		program.requests++
		program.lastRequest = now
	}
	return response
}

// expirePrograms removes programs whose last request is too long ago, adds them
// to the profiles of their routes, and recomputes the committed requests.
func (account *Account) expirePrograms(now time.Time) {
	account.lastExpiry = now
	account.committed = 0
	remaining := account.ordered[:0]
	for _, program := range account.ordered {
		account.committed += program.need(account.profiles.forRoute(program.route), account.policy.Horizon, now)
		if now.Sub(program.lastRequest) < programTimeout {
			remaining = append(remaining, program)
			continue
		}
		account.profiles.record(program)
		delete(account.programs, program.id)
	}
	clear(account.ordered[len(remaining):])
	account.ordered = remaining
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
