// Package quota keeps each workspace within its rate over all hosts together.
// One host keeps the account of a workspace; the others ask it, or use a small
// stock of tokens that it has moved to them.
package quota

import (
	"math"
	"time"
)

// Limit is a workspace's rate over all hosts together.
type Limit struct {
	Rate  float64 `msgpack:"r"` // requests a second
	Burst float64 `msgpack:"b"`
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
	Retry    time.Duration `msgpack:"t,omitempty"`
}

const (
	startTime      = 250 * time.Millisecond // of the rate that a new account holds: the account before it may have spent its burst
	promiseTime    = 3 * time.Second        // of the rate that may be promised to programs under way
	programSilence = 4 * time.Second        // after its last request a program is taken for ended
	firstLength    = 8                      // requests of a program before any has been seen to end
	leastLength    = 2
	lengthWeight   = 0.1 // of the newest program in the average length
	stockLevel     = 0.5 // of the burst above which tokens are moved to other hosts
	stockPart      = 0.25
	leastRetry     = 60 * time.Millisecond
	mostRetry      = 2 * time.Second
)

// Account is the tokens of one workspace and what they are promised to: a
// program that has begun needs more requests until it ends, and one that stops
// midway for want of tokens is worth nothing. New programs are admitted while
// what is promised fits.
type Account struct {
	limit    Limit
	tokens   float64
	updated  time.Time
	swept    time.Time
	programs map[string]*course
	lengths  map[string]float64 // average requests of a program by route
	promised float64
	// urgentLength is kept free of less urgent programs, so that the next
	// urgent one finds room.
	urgentLength float64
}

// course is one program under way.
type course struct {
	route    string
	used     int
	expected float64
	last     time.Time
}

// NewAccount returns an account with a little of the rate in it.
func NewAccount(limit Limit, now time.Time) *Account {
	return &Account{
		limit: limit, tokens: math.Min(limit.Burst, limit.Rate*startTime.Seconds()), updated: now, swept: now,
		programs: make(map[string]*course), lengths: make(map[string]float64),
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
	if account.tokens < 1 {
		return Answer{Retry: retry((1 - account.tokens) / (account.limit.Rate * portion))}
	}
	if question.Urgent {
		account.urgentLength = account.length(question.Route)
	}
	if !begun {
		room := account.tokens + account.limit.Rate*portion*promiseTime.Seconds() - account.promised - account.length(question.Route)
		if !question.Urgent {
			room -= account.urgentLength
		}
		if room < 0 {
			return Answer{Retry: retry(-room / (account.limit.Rate * portion))}
		}
	}
	account.tokens--
	account.use(question.Program, question.Route, 1, now)
	return Answer{Admitted: true, Stock: account.stock(question.Want, portion)}
}

// stock moves tokens that are not needed here.
func (account *Account) stock(want int, portion float64) int {
	spare := account.tokens - stockLevel*account.limit.Burst*portion
	moved := max(0, min(want, int(spare*stockPart)))
	account.tokens -= float64(moved)
	return moved
}

func (account *Account) advance(portion float64, now time.Time) {
	passed := now.Sub(account.updated).Seconds()
	if passed > 0 {
		account.updated = now
		account.tokens += account.limit.Rate * portion * passed
	}
	account.tokens = math.Min(account.tokens, math.Max(1, account.limit.Burst*portion))
	if now.Sub(account.swept) >= programSilence/4 {
		account.sweep(now)
	}
}

// sweep ends programs that have fallen silent and learns their lengths.
func (account *Account) sweep(now time.Time) {
	account.swept = now
	account.promised = 0
	for id, course := range account.programs {
		if now.Sub(course.last) >= programSilence {
			length := account.length(course.route)
			account.lengths[course.route] = length + lengthWeight*(float64(course.used)-length)
			delete(account.programs, id)
			continue
		}
		account.promised += course.left()
	}
}

func (account *Account) length(route string) float64 {
	if length, ok := account.lengths[route]; ok {
		return math.Max(leastLength, length)
	}
	return firstLength
}

func (course *course) left() float64 { return math.Max(0, course.expected-float64(course.used)) }

// use counts requests of a program.
func (account *Account) use(program, route string, count int, now time.Time) {
	if program == "" {
		return
	}
	one, ok := account.programs[program]
	if !ok {
		one = &course{route: route, expected: account.length(route)}
		account.programs[program] = one
	} else {
		account.promised -= one.left()
	}
	one.used += count
	one.last = now
	account.promised += one.left()
}

func retry(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), leastRetry), mostRetry)
}
