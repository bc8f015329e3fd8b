package workspace

import (
	"math"
	"slices"
	"time"

	"github.com/godwitspread/godwitspread/internal/refusal"
)

// Admission answers a waiting request.
type Admission struct {
	ID      uint64
	Refusal *refusal.Refusal
}

// Spender admits the requests of the workspaces that arrive at one host.
type Spender struct {
	purses map[string]*purse
	active map[string]*purse // those with requests, grants or uses to report
	swept  time.Time
}

// purse is what a host holds of one workspace.
type purse struct {
	grants  []grant
	waiting []waiting
	asking  bool
	askedAt time.Time
	retryAt time.Time
	uses    []Use     // not reported yet
	usedAt  time.Time // of the last use
	demand  demand
	rate    float64
	used    time.Time
}

// grant is what is left of a holder's grant.
type grant struct {
	id     uint64
	holder string
	amount float64
	until  time.Time
}

type waiting struct {
	id       uint64
	deadline time.Time
}

const (
	// MaxWait is the longest time that a request waits for tokens.
	MaxWait = 3500 * time.Millisecond
	// askTimeout is how long an ask may stay unanswered.
	askTimeout   = 700 * time.Millisecond
	askPause     = 40 * time.Millisecond
	prefetch     = 250 * time.Millisecond // demand that is asked for ahead
	idlePurse    = time.Minute
	activePurse  = 2 * time.Second
	waitingFloor = 16
	prefetchFrom = 0.5 // expected requests from which tokens are asked for ahead
	// reportFrom are the spent tokens that are reported without a need. Where
	// the rate is lower each use is, because the holder's account does not
	// accrue over a loan that it does not know to be spent.
	reportFrom = 4.0
	// smallNeed is not worth a message by itself, in tokens.
	smallNeed = 0.05
)

// NewSpender returns a spender without tokens.
func NewSpender() *Spender {
	return &Spender{purses: make(map[string]*purse), active: make(map[string]*purse)}
}

// Len returns the number of workspaces with state on this host.
func (spender *Spender) Len() int { return len(spender.purses) }

// Arrive asks for the admission of a request. It may answer other requests as
// well. Rate is the workspace's rate over the whole fleet.
func (spender *Spender) Arrive(now time.Time, id uint64, workspace string, rate float64, deadline time.Time) []Admission {
	found, ok := spender.purses[workspace]
	if !ok {
		found = &purse{}
		spender.purses[workspace] = found
	}
	spender.active[workspace] = found
	found.used = now
	found.rate = rate
	found.demand.add(now, 1)
	if len(found.waiting) >= max(waitingFloor, int(rate*MaxWait.Seconds())) {
		return []Admission{{ID: id, Refusal: exceeded(workspace)}}
	}
	if limit := now.Add(MaxWait); deadline.After(limit) {
		deadline = limit
	}
	found.waiting = append(found.waiting, waiting{id: id, deadline: deadline})
	return found.serve(now, workspace, nil)
}

func exceeded(workspace string) *refusal.Refusal {
	return refusal.New(refusal.RateExceeded, "workspace %q is over its rate and burst", workspace).WithRetryAfter(time.Second)
}

// serve admits waiting requests in order and refuses those past their time.
func (purse *purse) serve(now time.Time, workspace string, admissions []Admission) []Admission {
	served := 0
	for _, first := range purse.waiting {
		if now.Before(first.deadline) && !purse.spend(now) {
			break
		}
		admission := Admission{ID: first.id}
		if !now.Before(first.deadline) {
			admission.Refusal = exceeded(workspace)
		}
		admissions = append(admissions, admission)
		served++
	}
	purse.waiting = slices.Delete(purse.waiting, 0, served)
	return admissions
}

// spend takes one token from the grants, oldest first.
func (purse *purse) spend(now time.Time) bool {
	purse.expire(now)
	if purse.granted() < 1-rounding {
		return false
	}
	need := 1.0
	for index := range purse.grants {
		grant := &purse.grants[index]
		taken := math.Min(need, grant.amount)
		grant.amount -= taken
		need -= taken
		purse.note(*grant, taken)
	}
	purse.usedAt = now
	return true
}

// rounding forgives the error of adding up parts of a token.
const rounding = 1e-9

// note keeps a use for the next report.
func (purse *purse) note(grant grant, spent float64) {
	if spent <= 0 {
		return
	}
	for index := range purse.uses {
		if use := &purse.uses[index]; use.Grant == grant.id && use.Holder == grant.holder {
			use.Spent += spent
			return
		}
	}
	purse.uses = append(purse.uses, Use{Grant: grant.id, Holder: grant.holder, Spent: spent})
}

func (purse *purse) granted() float64 {
	var sum float64
	for _, grant := range purse.grants {
		sum += grant.amount
	}
	return sum
}

// spent returns the tokens of the uses that are not reported yet.
func (purse *purse) spent() float64 {
	var sum float64
	for _, use := range purse.uses {
		sum += use.Spent
	}
	return sum
}

func (purse *purse) expire(now time.Time) {
	purse.grants = slices.DeleteFunc(purse.grants, func(grant grant) bool {
		return !now.Before(grant.until) || grant.amount <= 0
	})
}

// Granted adds tokens of a holder. Asked is the time before the ask was sent.
func (spender *Spender) Granted(now, asked time.Time, answer Grant) []Admission {
	purse, ok := spender.purses[answer.Workspace]
	if !ok {
		return nil
	}
	purse.asking = false
	spender.active[answer.Workspace] = purse
	purse.retryAt = now.Add(max(askPause, answer.RetryAfter))
	if until := asked.Add(GrantTTL); answer.Amount > 0 && now.Before(until) {
		purse.grants = append(purse.grants, grant{
			id: answer.ID, holder: answer.Holder, amount: answer.Amount, until: until,
		})
	}
	return purse.serve(now, answer.Workspace, nil)
}

// Failed notes that an ask got no answer.
func (spender *Spender) Failed(now time.Time, workspace string) {
	if purse, ok := spender.purses[workspace]; ok {
		purse.asking = false
		purse.retryAt = now.Add(askPause)
	}
}

// Asks returns what to ask the holders for. An answer or Failed should follow
// for each; a late answer is accepted within its time.
func (spender *Spender) Asks(now time.Time) []Ask {
	var asks []Ask
	for name, purse := range spender.active {
		if ask, ok := purse.ask(now, name); ok {
			asks = append(asks, ask)
		}
	}
	slices.SortFunc(asks, func(a, b Ask) int {
		if a.Workspace < b.Workspace {
			return -1
		}
		return 1
	})
	return asks
}

func (purse *purse) ask(now time.Time, workspace string) (Ask, bool) {
	if purse.asking && now.Sub(purse.askedAt) < askTimeout || now.Before(purse.retryAt) {
		return Ask{}, false
	}
	purse.expire(now)
	ahead := math.Min(purse.demand.rate(now), purse.rate) * prefetch.Seconds()
	if ahead < prefetchFrom {
		ahead = 0 // would run out unspent more often than not
	}
	need := float64(len(purse.waiting)) + ahead - purse.granted()
	if now.Sub(purse.usedAt) >= GrantTTL {
		// The loans have run out; nobody waits for the report.
		purse.uses = nil
	}
	urgent := len(purse.waiting) > 0 || need > ahead/2 && need > smallNeed
	if !urgent && purse.spent() < max(min(reportFrom, purse.rate), ahead) {
		return Ask{}, false
	}
	purse.asking = true
	purse.askedAt = now
	ask := Ask{Workspace: workspace, Need: math.Max(0, need), Uses: purse.uses}
	if len(purse.waiting) > 0 {
		ask.Least = math.Max(0, 1-purse.granted())
	}
	purse.uses = nil
	return ask, true
}

// sweep forgets idle workspaces now and then.
func (spender *Spender) sweep(now time.Time) {
	if now.Sub(spender.swept) < idlePurse/2 {
		return
	}
	spender.swept = now
	for name, purse := range spender.purses {
		if len(purse.waiting) == 0 && now.Sub(purse.used) > idlePurse {
			delete(spender.purses, name)
			delete(spender.active, name)
		}
	}
}

// Withdraw forgets a waiting request.
func (spender *Spender) Withdraw(workspace string, id uint64) {
	if purse, ok := spender.purses[workspace]; ok {
		purse.waiting = slices.DeleteFunc(purse.waiting, func(waiting waiting) bool { return waiting.id == id })
	}
}

// Tick refuses requests that have waited too long and forgets idle workspaces.
func (spender *Spender) Tick(now time.Time) []Admission {
	var admissions []Admission
	for name, purse := range spender.active {
		admissions = purse.serve(now, name, admissions)
		if len(purse.waiting) == 0 && !purse.asking && now.Sub(purse.used) > activePurse {
			delete(spender.active, name)
		}
	}
	spender.sweep(now)
	slices.SortFunc(admissions, func(a, b Admission) int { return int(a.ID) - int(b.ID) })
	return admissions
}
