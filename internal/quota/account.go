// Package quota keeps each workspace within its rate over all hosts together.
// One host keeps the account of a workspace; the others ask it, or use a small
// stock of tokens that it has moved to them.
package quota

import (
	"math"
	"time"
)

// Limit is a workspace's rate over all hosts together: no span of the window's
// length takes more than the rate for that time and the burst.
type Limit struct {
	Rate   float64       `msgpack:"r"` // requests a second
	Burst  float64       `msgpack:"b"`
	Window time.Duration `msgpack:"w"`
}

// capacityShare is the part of a burst that an account can hold at once; the
// rest is spread over the window, which admits more programs whole.
const capacityShare = 0.4

// refill returns what is added in a second.
func (limit Limit) refill() float64 {
	if limit.Window <= 0 {
		return limit.Rate
	}
	return limit.Rate + (1-capacityShare)*limit.Burst/limit.Window.Seconds()
}

// capacity returns the most that an account holds. A window then takes no more
// than the capacity and the refill of its time, which is the limit.
func (limit Limit) capacity() float64 {
	if limit.Window <= 0 {
		return limit.Burst
	}
	return capacityShare * limit.Burst
}

// Question asks for a token, and for a stock.
type Question struct {
	Workspace string         `msgpack:"w"`
	Limit     Limit          `msgpack:"l"`
	Program   string         `msgpack:"p,omitempty"`
	Route     string         `msgpack:"o,omitempty"`
	Urgent    bool           `msgpack:"g,omitempty"` // its route has the highest priority
	Want      int            `msgpack:"n,omitempty"` // tokens for the time until the next question
	Used      map[string]int `msgpack:"u,omitempty"` // requests admitted from the stock, by program
}

// Answer is the account's answer.
type Answer struct {
	Admitted bool          `msgpack:"a,omitempty"`
	Stock    int           `msgpack:"s,omitempty"`
	Delay    time.Duration `msgpack:"d,omitempty"` // until the token may be used
	Retry    time.Duration `msgpack:"t,omitempty"`
}

const (
	startTime      = 250 * time.Millisecond // of the rate that a new account holds: the account before it may have spent its burst
	programSilence = 4 * time.Second        // after its last request a program is taken for ended
	patience       = 400 * time.Millisecond // that a program under way waits for a token; its aim leaves a little more
	pauseTime      = 900 * time.Millisecond // between requests of a program that is under way
	firstLength    = 10                     // requests of a program before any has been seen to end
	firstSpan      = 2 * time.Second        // time of a program before any has been seen to end
	leastSpan      = 500 * time.Millisecond
	lengthWeight   = 0.1             // of the newest program in the averages
	overcommit     = 2.0             // programs pause and wait for tokens, so more than the rate may be promised
	tokenTime      = 2 * time.Second // over which tokens at hand count as rate
	stockLevel     = 0.5             // of the capacity above which tokens are moved to other hosts
	stockPart      = 0.25
	leastRetry     = 60 * time.Millisecond
	mostRetry      = 2 * time.Second
)

// Account is the tokens of one workspace and the rate that it has promised: a
// program that has begun needs more requests until it ends, and one that stops
// midway for want of tokens is worth nothing. New programs are admitted while
// the rates of those under way leave room for theirs.
type Account struct {
	limit    Limit
	tokens   float64
	updated  time.Time
	swept    time.Time
	programs map[string]*course
	habits   *Habits
	promised float64 // requests a second of all programs under way
	// urgentRate is kept free of less urgent programs, so that the next urgent
	// one finds room.
	urgentRate float64
}

// course is one program under way.
type course struct {
	route string
	used  int
	rate  float64
	begun time.Time
	last  time.Time
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
}

func (usual *usual) rate() float64 { return usual.length / max(usual.span, leastSpan).Seconds() }

func (habits *Habits) of(route string) *usual {
	one, ok := habits.byRoute[route]
	if !ok {
		one = &usual{length: firstLength, span: firstSpan}
		habits.byRoute[route] = one
	}
	return one
}

// learn counts a program that has ended.
func (habits *Habits) learn(course *course) {
	usual := habits.of(course.route)
	usual.length += lengthWeight * (float64(course.used) - usual.length)
	usual.span += time.Duration(lengthWeight * float64(course.last.Sub(course.begun)-usual.span))
}

// NewAccount returns an account with a little of the rate in it.
func NewAccount(limit Limit, habits *Habits, now time.Time) *Account {
	return &Account{
		limit: limit, tokens: math.Min(limit.capacity(), limit.refill()*startTime.Seconds()), updated: now, swept: now,
		programs: make(map[string]*course), habits: habits,
	}
}

// Serve answers a question. Portion is the part of the rate that this account
// may use while it cannot reach all hosts.
func (account *Account) Serve(question Question, portion float64, now time.Time) Answer {
	account.limit = question.Limit
	account.advance(portion, now)
	for program, count := range question.Used {
		account.use(program, question.Route, count, now)
	}
	_, begun := account.programs[question.Program]
	if question.Program == "" {
		begun = true
	}
	refill := account.limit.refill() * portion
	if begun && account.tokens < 1 && account.tokens >= 1-refill*patience.Seconds() {
		// A program under way waits for a token that comes soon.
		account.tokens--
		account.use(question.Program, question.Route, 1, now)
		return Answer{Admitted: true, Delay: time.Duration(-account.tokens / refill * float64(time.Second))}
	}
	if account.tokens < 1 {
		return Answer{Retry: retry((1 - account.tokens) / refill)}
	}
	rate := account.habits.of(question.Route).rate()
	if question.Urgent {
		account.urgentRate = rate
	}
	if !begun {
		room := overcommit*refill + account.tokens/tokenTime.Seconds() - account.promised - rate
		if !question.Urgent {
			room -= account.urgentRate
		}
		if room < 0 {
			return Answer{Retry: retry(-room / refill)}
		}
	}
	account.tokens--
	account.use(question.Program, question.Route, 1, now)
	return Answer{Admitted: true, Stock: account.stock(question.Want, portion)}
}

// stock moves tokens that are not needed here.
func (account *Account) stock(want int, portion float64) int {
	spare := account.tokens - stockLevel*account.limit.capacity()*portion
	moved := max(0, min(want, int(spare*stockPart)))
	account.tokens -= float64(moved)
	return moved
}

func (account *Account) advance(portion float64, now time.Time) {
	passed := now.Sub(account.updated).Seconds()
	if passed > 0 {
		account.updated = now
		account.tokens += account.limit.refill() * portion * passed
	}
	account.tokens = math.Min(account.tokens, math.Max(1, account.limit.capacity()*portion))
	if now.Sub(account.swept) >= pauseTime/8 {
		account.sweep(now)
	}
}

// sweep ends programs that have fallen silent and learns from them.
func (account *Account) sweep(now time.Time) {
	account.swept = now
	account.promised = 0
	for id, course := range account.programs {
		silent := now.Sub(course.last)
		if silent < pauseTime {
			account.promised += course.rate
		}
		if silent < programSilence {
			continue
		}
		account.habits.learn(course)
		delete(account.programs, id)
	}
}

// use counts requests of a program.
func (account *Account) use(program, route string, count int, now time.Time) {
	if program == "" {
		return
	}
	one, ok := account.programs[program]
	if !ok {
		one = &course{route: route, rate: account.habits.of(route).rate(), begun: now}
		account.programs[program] = one
		account.promised += one.rate
	}
	one.used += count
	one.last = now
}

func retry(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), leastRetry), mostRetry)
}
