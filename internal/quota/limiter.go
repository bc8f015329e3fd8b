package quota

import (
	"context"
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
	accountIdle = time.Minute // after which an account is dropped
	aloneIdle   = time.Second
	// aloneShare is the part of a host's portion that it uses without the
	// keeper, which may not have noticed yet that the host is cut off.
	aloneShare = 0.3
)

// Limiter admits requests on one host.
type Limiter struct {
	keepers Keepers
	clock   clockwork.Clock
	metrics *metric.Metrics

	mutex    sync.Mutex
	returned map[string]int      // requests that have not run, by workspace
	accounts map[string]*Account // kept here for all hosts
	alone    map[string]*Account // used while the keeper is out of reach
	habits   *Habits
}

// NewLimiter returns a limiter.
func NewLimiter(keepers Keepers, clock clockwork.Clock, metrics *metric.Metrics) *Limiter {
	return &Limiter{
		keepers: keepers, clock: clock, metrics: metrics, returned: make(map[string]int),
		accounts: make(map[string]*Account), alone: make(map[string]*Account), habits: NewHabits(),
	}
}

// Admit waits until a request may run. If it may not, it returns when to try
// again.
func (limiter *Limiter) Admit(ctx context.Context, question Question) (bool, time.Duration) {
	if question.Limit.Rate <= 0 {
		return true, 0
	}
	question.Returned = limiter.takeReturned(question.Workspace)
	answer := limiter.ask(ctx, question)
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

// Refund gives back a request that has not run. The account hears of it with
// the next question.
func (limiter *Limiter) Refund(workspace string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.returned[workspace]++
}

func (limiter *Limiter) takeReturned(workspace string) int {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	count := limiter.returned[workspace]
	delete(limiter.returned, workspace)
	return count
}

func (limiter *Limiter) ask(ctx context.Context, question Question) Answer {
	address, self := limiter.keepers.Home(question.Workspace)
	if self {
		return limiter.Serve(question)
	}
	answer, err := limiter.keepers.AskQuota(ctx, address, question)
	if err == nil && !answer.Elsewhere {
		return answer
	}
	limiter.metrics.Retried("quota_keeper_lost")
	_, alone := limiter.keepers.Portion()
	return limiter.serve(limiter.alone, question, alone*aloneShare)
}

// Serve answers a question as the keeper of the workspace's account.
func (limiter *Limiter) Serve(question Question) Answer {
	if _, self := limiter.keepers.Home(question.Workspace); !self {
		return Answer{Elsewhere: true}
	}
	heard, _ := limiter.keepers.Portion()
	return limiter.serve(limiter.accounts, question, heard)
}

// Tidy drops accounts that this host keeps no longer, or has not used: what
// they were granted meanwhile is another host's.
func (limiter *Limiter) Tidy() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	for workspace, account := range limiter.accounts {
		if _, self := limiter.keepers.Home(workspace); !self || now.Sub(account.updated) > accountIdle {
			delete(limiter.accounts, workspace)
		}
	}
	for workspace, account := range limiter.alone {
		if now.Sub(account.updated) > aloneIdle {
			delete(limiter.alone, workspace)
		}
	}
}

func (limiter *Limiter) serve(accounts map[string]*Account, question Question, portion float64) Answer {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.clock.Now()
	account, ok := accounts[question.Workspace]
	if !ok {
		account = NewAccount(question.Limit, Usual, limiter.habits, now)
		accounts[question.Workspace] = account
	}
	return account.Serve(question, portion, now)
}
