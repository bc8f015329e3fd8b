package quota

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/metric"
)

// Keepers finds the host that keeps a workspace's account.
type Keepers interface {
	Home(workspace string) (address string, self bool)
	AskQuota(ctx context.Context, address string, question Question) (Answer, error)
	// Portion is the part of all hosts that this host hears, itself included;
	// alone is the part that one host is.
	Portion() (heard, alone float64)
}

const (
	stockTime   = 600 * time.Millisecond // a stock that is older is not used: its account has moved on
	aheadTime   = 250 * time.Millisecond // demand that a stock is asked for
	mostStock   = 24
	mostUsed    = 64                     // programs reported with one question
	demandTime  = 700 * time.Millisecond // time constant of the average of demand
	accountIdle = time.Minute
)

// Limiter admits requests on one host.
type Limiter struct {
	keepers Keepers
	clock   clockwork.Clock
	metrics *metric.Metrics

	mutex    sync.Mutex
	stocks   map[string]*stock
	accounts map[string]*Account // kept here for all hosts
	alone    map[string]*Account // used while the keeper is out of reach
	habits   *Habits
}

// stock is what this host holds of a workspace's tokens.
type stock struct {
	tokens  int
	expires time.Time
	used    map[string]int
	demand  float64 // requests a second
	updated time.Time
}

// NewLimiter returns a limiter.
func NewLimiter(keepers Keepers, clock clockwork.Clock, metrics *metric.Metrics) *Limiter {
	return &Limiter{
		keepers: keepers, clock: clock, metrics: metrics, stocks: make(map[string]*stock),
		accounts: make(map[string]*Account), alone: make(map[string]*Account), habits: NewHabits(),
	}
}

// Admit takes a token of a workspace for a request of a program. If there is
// none it returns when to try again.
func (limiter *Limiter) Admit(ctx context.Context, workspace string, limit Limit, program, route string, urgent bool) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	question, admitted := limiter.draw(workspace, limit, program, route)
	if admitted {
		return true, 0
	}
	question.Urgent = urgent
	answer := limiter.ask(ctx, question)
	if answer.Stock > 0 {
		limiter.mutex.Lock()
		one := limiter.stocks[workspace]
		one.tokens, one.expires = answer.Stock, limiter.clock.Now().Add(stockTime)
		limiter.mutex.Unlock()
	}
	if answer.Delay > 0 {
		limiter.metrics.Latency("rate_wait", answer.Delay)
		select {
		case <-limiter.clock.After(answer.Delay):
		case <-ctx.Done():
			return false, leastRetry
		}
	}
	return answer.Admitted, answer.Retry
}

// draw takes from the stock, or returns the question for the keeper.
func (limiter *Limiter) draw(workspace string, limit Limit, program, route string) (Question, bool) {
	now := limiter.clock.Now()
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	one, ok := limiter.stocks[workspace]
	if !ok {
		one = &stock{used: make(map[string]int), updated: now}
		limiter.stocks[workspace] = one
	}
	one.demand = one.demand*math.Exp(-float64(now.Sub(one.updated))/float64(demandTime)) + 1/demandTime.Seconds()
	one.updated = now
	if one.tokens > 0 && now.Before(one.expires) && len(one.used) < mostUsed {
		one.tokens--
		if program != "" {
			one.used[program]++
		}
		return Question{}, true
	}
	one.tokens = 0
	question := Question{
		Workspace: workspace, Limit: limit, Program: program, Route: route, Used: one.used,
		Want: min(mostStock, int(one.demand*aheadTime.Seconds())),
	}
	one.used = make(map[string]int)
	return question, false
}

// Refund gives back the token of a request that has not run.
func (limiter *Limiter) Refund(workspace, program string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	one, ok := limiter.stocks[workspace]
	if !ok {
		return
	}
	if now := limiter.clock.Now(); one.tokens == 0 || now.After(one.expires) {
		one.tokens, one.expires = 0, now.Add(stockTime)
	}
	one.tokens++
	if one.used[program] > 0 {
		one.used[program]--
	}
}

func (limiter *Limiter) ask(ctx context.Context, question Question) Answer {
	address, self := limiter.keepers.Home(question.Workspace)
	if self {
		return limiter.Serve(question)
	}
	answer, err := limiter.keepers.AskQuota(ctx, address, question)
	if err == nil {
		return answer
	}
	limiter.metrics.Retried("quota_keeper_lost")
	_, alone := limiter.keepers.Portion()
	return limiter.serve(limiter.alone, question, alone)
}

// Serve answers a question as the keeper of the workspace's account.
func (limiter *Limiter) Serve(question Question) Answer {
	heard, _ := limiter.keepers.Portion()
	return limiter.serve(limiter.accounts, question, heard)
}

func (limiter *Limiter) serve(accounts map[string]*Account, question Question, portion float64) Answer {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	account, ok := accounts[question.Workspace]
	if !ok || now.Sub(account.updated) > accountIdle {
		account = NewAccount(question.Limit, limiter.habits, now)
		accounts[question.Workspace] = account
	}
	return account.Serve(question, portion, now)
}
