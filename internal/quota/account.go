// Package quota keeps each workspace within its rate over all hosts together.
// One host keeps the account of a workspace; the others ask it.
package quota

import "time"

// Limit is a workspace's rate over all hosts together: no span of the window's
// length takes more than the rate for that time and the burst.
type Limit struct {
	Rate   float64       `msgpack:"r"` // requests a second
	Burst  float64       `msgpack:"b"`
	Window time.Duration `msgpack:"w"`
	// Reserve is how many requests beyond the limit programs under way may take
	// in a window.
	Reserve float64 `msgpack:"s,omitempty"`
}

// Terms are how a deployment counts rates. Hosts together may exceed a limit by
// the overage and the slack.
type Terms struct {
	Window  time.Duration
	Overage float64 // part of a limit
	Slack   float64 // requests
}

// reserveShare is the part of the tolerance that programs under way may use;
// the rest covers accounts that move between hosts.
const reserveShare = 0.4

// Limit returns the limit of a workspace.
func (terms Terms) Limit(rate, burst float64) Limit {
	if terms.Window <= 0 {
		terms.Window = time.Second
	}
	return Limit{
		Rate: rate, Burst: burst, Window: terms.Window,
		Reserve: reserveShare * (terms.Overage*(rate*terms.Window.Seconds()+burst) + terms.Slack),
	}
}

// most returns how many requests the limit allows in a window.
func (limit Limit) most() float64 { return limit.Rate*limit.Window.Seconds() + limit.Burst }

// steady returns the requests a second that the limit allows for ever.
func (limit Limit) steady() float64 { return limit.most() / limit.Window.Seconds() }

// Policy is how an account admits programs.
type Policy struct {
	Horizon  time.Duration // for which programs under way must find what they need
	Promise  float64       // part of what is free within the horizon that may be promised
	Patience time.Duration // that a program under way waits; its aim leaves a little more
}

// Usual is the policy of hosts: of those that the experiment tool compares, the
// one with the highest worth over all its loads.
var Usual = Policy{Promise: 1.1, Horizon: time.Second, Patience: 400 * time.Millisecond}

// Question asks whether a request may run.
type Question struct {
	Workspace string        `msgpack:"w"`
	Limit     Limit         `msgpack:"l"`
	Program   string        `msgpack:"p,omitempty"`
	Route     string        `msgpack:"o,omitempty"`
	Urgent    bool          `msgpack:"g,omitempty"` // its route has the highest priority
	Returned  int           `msgpack:"b,omitempty"` // earlier requests of the workspace that have not run
	Left      time.Duration `msgpack:"e,omitempty"` // until the program should be done
}

// Answer is the account's answer.
type Answer struct {
	Admitted bool          `msgpack:"a,omitempty"`
	Delay    time.Duration `msgpack:"d,omitempty"` // until it may run
	Retry    time.Duration `msgpack:"t,omitempty"`
	// Elsewhere tells that the host asked does not keep the account.
	Elsewhere bool `msgpack:"e,omitempty"`
}

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

// course is one program under way.
type course struct {
	id    string
	route string
	used  int
	rate  float64
	begun time.Time
	last  time.Time
	left  time.Duration // that it had at its first request
}

// end is when the program will probably have ended.
func (course *course) end(usual *usual) time.Time {
	if course.left <= 0 {
		return course.last.Add(pauseTime)
	}
	return course.begun.Add(time.Duration(float64(course.left) * usual.part))
}

// need returns the requests that the program probably needs within a time.
func (course *course) need(usual *usual, horizon time.Duration, now time.Time) float64 {
	silent := now.Sub(course.last)
	rest := course.end(usual).Sub(now)
	if silent >= pauseTime || rest <= 0 && silent >= shortPause {
		return 0
	}
	return course.rate * min(horizon, max(rest, shortPause)).Seconds()
}

// Habits are what programs that begin on each route usually need. Workspaces
// share them.
type Habits struct{ byRoute map[string]*usual }

// NewHabits returns habits that know no route.
func NewHabits() *Habits { return &Habits{byRoute: make(map[string]*usual)} }

// usual is the average program that begins on a route.
type usual struct {
	length float64
	span   time.Duration
	part   float64 // of the time that it had left at its first request, that it took
}

func (usual *usual) rate() float64 { return usual.length / max(usual.span, leastSpan).Seconds() }

func (habits *Habits) of(route string) *usual {
	one, ok := habits.byRoute[route]
	if !ok {
		one = &usual{length: firstLength, span: firstSpan, part: firstPart}
		habits.byRoute[route] = one
	}
	return one
}

// learn counts a program that has ended.
func (habits *Habits) learn(course *course) {
	usual := habits.of(course.route)
	usual.length += lengthWeight * (float64(course.used) - usual.length)
	span := course.last.Sub(course.begun)
	usual.span += time.Duration(lengthWeight * float64(span-usual.span))
	if course.left > 0 {
		usual.part += lengthWeight * (min(1, float64(span)/float64(course.left)) - usual.part)
	}
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
