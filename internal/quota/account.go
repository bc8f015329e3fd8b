// Package quota keeps each workspace within its rate over all hosts together.
// One host keeps the account of a workspace; the others ask it.
package quota

import "time"

const (
	startTime      = 100 * time.Millisecond // of the limit that a new account has: the account before it may have used the rest
	programSilence = 4 * time.Second        // after its last request a program is taken for ended
	pauseTime      = 900 * time.Millisecond // between requests of a program that is under way
	firstLength    = 10                     // requests of a program before any has been seen to end
	firstSpan      = 2 * time.Second        // time of a program before any has been seen to end
	firstPart      = 0.6                    // of the time that a program has left, that it takes before any has been seen to end
	shortPause     = 250 * time.Millisecond // usual between requests of a program
	leastSpan      = 500 * time.Millisecond
	lengthWeight   = 0.1 // of the newest program in the averages
	leastRetry     = 60 * time.Millisecond
	mostRetry      = 2 * time.Second
)

// Account is what one workspace has used of its limit and the rate that it has
// promised: a program that has begun needs more requests until it ends, and one
// that stops midway is worth nothing. New programs are admitted while the rates
// of those under way leave room for theirs.
type Account struct {
	policy   Policy
	limit    Limit
	window   *window
	updated  time.Time
	swept    time.Time
	programs map[string]*course
	order    []*course // as they began
	habits   *Habits
	promised float64 // requests that the programs under way need within the horizon
	// urgent is kept free of less urgent programs, so that the next urgent one
	// finds room.
	urgent float64
}

// NewAccount returns an account that has a little of the limit.
func NewAccount(limit Limit, policy Policy, habits *Habits, now time.Time) *Account {
	return &Account{
		limit: limit, policy: policy, window: newWindow(limit.Window, now.Add(-startTime)), updated: now, swept: now,
		programs: make(map[string]*course), habits: habits,
	}
}

// Serve answers a question. Portion is the part of the limit that this account
// may use while it cannot reach all hosts.
func (account *Account) Serve(question Question, portion float64, now time.Time) Answer {
	if question.Limit.Window != account.limit.Window {
		account.window = newWindow(question.Limit.Window, now)
	}
	account.limit = question.Limit
	account.window.advance(now, account.limit.most(), portion)
	account.window.use(-float64(question.Returned), 0)
	account.updated = now
	if now.Sub(account.swept) >= pauseTime/8 {
		account.sweep(now)
	}
	if _, begun := account.programs[question.Program]; begun || question.Program == "" {
		return account.goOn(question, now)
	}
	return account.begin(question, now)
}

// begin admits a new program if what those under way still need leaves room
// for it.
func (account *Account) begin(question Question, now time.Time) Answer {
	window, policy := account.window, account.policy
	free := window.free(0)
	if free < 1 {
		wait, _ := window.wait(1-free, 0, mostRetry)
		return Answer{Retry: retry(wait)}
	}
	usual := account.habits.of(question.Route)
	begun := &course{id: question.Program, route: question.Route, rate: usual.rate(), used: 1, begun: now, last: now, left: question.Left}
	need := begun.need(usual, policy.Horizon, now)
	room := policy.Promise*(free+window.freed(policy.Horizon)) - account.promised - need
	if question.Urgent {
		account.urgent = need
	} else {
		room -= account.urgent
	}
	if room < 0 {
		return Answer{Retry: retry(time.Duration(-room / account.limit.steady() * float64(time.Second)))}
	}
	window.use(1, 0)
	account.programs[question.Program] = begun
	account.order = append(account.order, begun)
	account.promised += need
	return Answer{Admitted: true}
}

// goOn serves a program that is under way: from the limit, from the reserve,
// or from what becomes free soon.
func (account *Account) goOn(question Question, now time.Time) Answer {
	answer := Answer{Admitted: true}
	reserve := account.limit.Reserve
	if !account.window.whole() {
		// The tolerance is needed for what other hosts have used meanwhile.
		reserve = 0
	}
	if free := account.window.free(reserve); free < 1 {
		wait, found := account.window.wait(1-free, reserve, account.policy.Patience)
		if !found {
			return Answer{Retry: retry(wait)}
		}
		answer.Delay = wait
	}
	account.window.use(1, answer.Delay)
	if course, ok := account.programs[question.Program]; ok {
		course.used++
		course.last = now
	}
	return answer
}

// sweep ends programs that have fallen silent and learns from them.
func (account *Account) sweep(now time.Time) {
	account.swept = now
	account.promised = 0
	kept := account.order[:0]
	for _, course := range account.order {
		account.promised += course.need(account.habits.of(course.route), account.policy.Horizon, now)
		if now.Sub(course.last) < programSilence {
			kept = append(kept, course)
			continue
		}
		account.habits.learn(course)
		delete(account.programs, course.id)
	}
	clear(account.order[len(kept):])
	account.order = kept
}

func retry(wait time.Duration) time.Duration { return min(max(wait, leastRetry), mostRetry) }
