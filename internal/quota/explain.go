package quota

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Outlook is what would be decided on a request now. Nothing is counted.
type Outlook struct {
	Response AdmissionResponse `msgpack:"r"`
	Known    bool              `msgpack:"k,omitempty"` // the response is what the request would get
	Reason   string            `msgpack:"o,omitempty"` // why it is not known, or how it comes about
	Fallback bool              `msgpack:"f,omitempty"` // this host decides alone, since the coordinator does not respond

	Coordinator string  `msgpack:"c,omitempty"` // address of the host that keeps the account; empty for the one that responds
	Exists      bool    `msgpack:"e,omitempty"` // the account exists; otherwise the request would create it
	Used        float64 `msgpack:"u,omitempty"` // in the present window
	Granted     float64 `msgpack:"g,omitempty"` // in the present window
	Available   float64 `msgpack:"a,omitempty"`
	Committed   float64 `msgpack:"m,omitempty"` // to active programs within the horizon
	Programs    int     `msgpack:"p,omitempty"` // active ones
	Share       float64 `msgpack:"s,omitempty"` // of the limit that the account may grant
}

// ErrNotExplained is the error of a coordinator that responds but cannot tell what it would
// decide, such as one of an older build.
var ErrNotExplained = errors.New("coordinator does not explain its decisions")

// Peeker asks the coordinator of a workspace what it would decide. Coordinators that do not
// implement it leave the decisions of other hosts unknown.
type Peeker interface {
	PeekAdmission(ctx context.Context, address string, request AdmissionRequest) (Outlook, error)
}

// Peek returns what Admit would decide, without waiting and without changing any account.
func (limiter *Limiter) Peek(ctx context.Context, request AdmissionRequest) Outlook {
	if request.Limit.Rate <= 0 {
		return Outlook{Known: true, Response: AdmissionResponse{Admitted: true}}
	}
	address, self := limiter.coordinators.Coordinator(request.Workspace)
	request.Refunds, request.Report = limiter.peekOwn(request, address)
	if self || limiter.adopted(request.Workspace) {
		return limiter.ServePeek(request)
	}
	peeker, ok := limiter.coordinators.(Peeker)
	if !ok {
		return Outlook{Coordinator: address, Reason: ErrNotExplained.Error()}
	}
	outlook, err := peeker.PeekAdmission(ctx, address, request)
	if errors.Is(err, ErrNotExplained) {
		return Outlook{Coordinator: address, Reason: err.Error()}
	}
	if err != nil || outlook.Response.NotCoordinator {
		reason := "host does not coordinate the workspace"
		if err != nil {
			reason = err.Error()
		}
		_, request.Report = limiter.peekOwn(request, "")
		outlook = limiter.peekFallback(request)
		outlook.Reason = fmt.Sprintf("coordinator at %q: %s", address, reason)
	}
	outlook.Coordinator = address
	return outlook
}

// ServePeek returns what Serve would decide as the coordinator of the workspace.
func (limiter *Limiter) ServePeek(request AdmissionRequest) Outlook {
	_, self := limiter.coordinators.Coordinator(request.Workspace)
	reachable, _ := limiter.coordinators.ReachableShare()
	adopted := limiter.adopted(request.Workspace)
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	_, moving := limiter.moves.pending[request.Workspace]
	target, moved := limiter.moves.target(request.Workspace, now)
	account, kept := limiter.accounts[request.Workspace]
	switch {
	case moving:
		return Outlook{Reason: "account is moving to another host"}
	case moved:
		return Outlook{Reason: fmt.Sprintf("account has just moved to the host at %q", target)}
	case !kept && limiter.moves.leaving:
		return Outlook{Reason: "host is leaving and begins no account"}
	case !self && !adopted:
		return Outlook{Response: AdmissionResponse{NotCoordinator: true}}
	case !request.Limit.valid():
		return Outlook{Known: true, Response: AdmissionResponse{RetryAfter: maxRetryAfter}}
	}
	if kept {
		return limiter.peekAccount(request, account.clone(), reachable, true, now)
	}
	horizon := limiter.horizon(request.Workspace)
	if address, found := limiter.coordinators.Predecessor(request.Workspace); found && !limiter.certain(horizon, request.Limit.Window) {
		return Outlook{Reason: fmt.Sprintf("account would first be asked for at the previous coordinator at %q", address)}
	}
	_, copied := limiter.copies.byWorkspace[request.Workspace]
	if holder, remote := limiter.coordinators.RemoteBackup(request.Workspace); (remote || copied) && !limiter.certain(horizon, request.Limit.Window) {
		return Outlook{Reason: fmt.Sprintf("account would first be restored from a copy, here or at the host at %q", holder)}
	}
	account = limiter.create(request, limiter.profiles.clone(), horizon, reachable, now)
	limiter.restrict(account)
	limiter.applyEarly(request.Workspace, account, now)
	return limiter.peekAccount(request, account, reachable, false, now)
}

// peekAccount returns what serve would decide with a copy of an account, which it changes.
// It is not known if the backup must first acknowledge an announcement. The caller must hold
// the mutex.
func (limiter *Limiter) peekAccount(request AdmissionRequest, account *Account, reachable float64, exists bool, now time.Time) Outlook {
	if limiter.coordinators.CopiesEnabled() {
		account.observeShare(reachable)
	}
	if bound := &account.window.bound; !bound.accruing && bound.remaining() < 1 {
		avoided := account.cover.avoided(now)
		if address, found := limiter.coordinators.Backup(request.Workspace, avoided); found {
			return Outlook{Exists: exists, Reason: fmt.Sprintf("backup at %q must first learn of the grants of the account", address)}
		}
		account.grantAlone(reachable < 1 && !limiter.coordinators.Older() || len(avoided) > 0)
	}
	return account.peek(request, reachable, exists, now)
}

// peekFallback returns what serveFallback would decide.
func (limiter *Limiter) peekFallback(request AdmissionRequest) Outlook {
	_, single := limiter.coordinators.ReachableShare()
	share := single * fallbackShare
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	account, kept := limiter.fallback[request.Workspace]
	if !kept {
		account = limiter.createFallback(request, limiter.profiles.clone(), share, now)
	}
	outlook := account.peek(request, share, kept, now)
	outlook.Fallback = true
	return outlook
}

// peekOwn returns the refunds and the report that the next request of a workspace has.
func (limiter *Limiter) peekOwn(request AdmissionRequest, address string) ([]Use, *Report) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	refunds := slices.Clone(limiter.refunds[request.Workspace])
	own, ok := limiter.admitted[request.Workspace]
	if !ok {
		return refunds, nil
	}
	copied := *own
	copied.uses = maps.Clone(own.uses)
	return refunds, copied.report(limiter.id, address, request.Limit.Window, limiter.clock.Now())
}

// peek returns what Serve would decide.
func (account *Account) peek(request AdmissionRequest, share float64, exists bool, now time.Time) Outlook {
	copied := account.clone()
	// A request of no program states what is left before this one.
	copied.window.advance(now, request.Limit.capacity(), share)
	outlook := Outlook{
		Known: true, Exists: exists, Share: share, Used: copied.window.used, Granted: copied.window.granted,
		Available: copied.window.available(0), Committed: copied.committed, Programs: len(copied.programs),
	}
	outlook.Response = account.clone().Serve(request, share, now)
	return outlook
}

// clone returns a copy that shares no state with the account.
func (account *Account) clone() *Account {
	copied := *account
	window := *account.window
	window.uses, window.grants, window.shares = slices.Clone(window.uses), slices.Clone(window.grants), slices.Clone(window.shares)
	window.history.credits = slices.Clone(window.history.credits)
	copied.window = &window
	copied.merged, copied.reported = maps.Clone(account.merged), maps.Clone(account.reported)
	copied.copied = maps.Clone(account.copied)
	copied.cover.former, copied.cover.failed = slices.Clone(account.cover.former), maps.Clone(account.cover.failed)
	copied.profiles = account.profiles.clone()
	copied.programs, copied.ordered = make(map[string]*program, len(account.programs)), nil
	for _, active := range account.ordered {
		duplicate := *active
		copied.programs[active.id] = &duplicate
		copied.ordered = append(copied.ordered, &duplicate)
	}
	return &copied
}

// clone returns a copy that shares no state with the profiles.
func (profiles *RouteProfiles) clone() *RouteProfiles {
	copied := NewRouteProfiles()
	for route, profile := range profiles.byRoute {
		duplicate := *profile
		copied.byRoute[route] = &duplicate
	}
	return copied
}
