// Package workspace limits the request rate of each workspace over all hosts.
// Tokens accrue in accounts whose rates and capacities add up to the rate and
// burst of the workspace. Tokens are moved between accounts, never copied: a
// loan counts against the capacity of the lending account until it can no
// longer be used. In every interval of length t, all hosts together admit at
// most rate*t + burst requests.
//
// Account, Coordinator and LocalLimiter are state machines that do no I/O and
// read no clock.
package workspace

import (
	"math"
	"time"
)

// Account is a token bucket that can lend tokens to other hosts.
type Account struct {
	rate     float64 // tokens a second
	capacity float64
	tokens   float64
	updated  time.Time
	loans    []loan
	lastID   uint64
}

// loan is a number of lent tokens. It counts against the capacity of the
// account until it is reported as spent or has expired.
type loan struct {
	id      uint64
	amount  float64
	expires time.Time
}

// NewAccount returns an empty account that accrues tokens from the given time
// on.
func NewAccount(now time.Time, rate, burst float64) *Account {
	return &Account{rate: rate, capacity: burst, updated: now}
}

// SetLimits changes the rate and capacity of an account. It discards tokens
// above the new capacity.
func (account *Account) SetLimits(now time.Time, rate, burst float64) {
	account.Refill(now)
	account.rate, account.capacity = rate, burst
	account.tokens = min(account.tokens, account.maxTokens())
}

// Refill adds the tokens accrued up to the given time and removes expired
// loans.
func (account *Account) Refill(now time.Time) {
	unexpired := account.loans[:0]
	for _, loan := range account.loans {
		if now.Before(loan.expires) {
			unexpired = append(unexpired, loan)
		}
	}
	account.loans = unexpired
	if now.After(account.updated) {
		account.tokens += account.rate * now.Sub(account.updated).Seconds()
		account.updated = now
	}
	account.tokens = min(account.tokens, account.maxTokens())
}

// maxTokens returns the capacity that is not taken up by loans.
func (account *Account) maxTokens() float64 {
	var lent float64
	for _, loan := range account.loans {
		lent += loan.amount
	}
	return math.Max(0, account.capacity-lent)
}

// Tokens returns the number of tokens at the given time.
func (account *Account) Tokens(now time.Time) float64 {
	account.Refill(now)
	return account.tokens
}

// Spend removes tokens if there are enough, and reports whether it did.
func (account *Account) Spend(now time.Time, amount float64) bool {
	account.Refill(now)
	if account.tokens < amount {
		return false
	}
	account.tokens -= amount
	return true
}

// Lend removes up to the given amount and records it as a loan. The borrower
// must use the tokens within ttl, measured from before it sent its request.
func (account *Account) Lend(now time.Time, amount float64, ttl time.Duration) (id uint64, lent float64) {
	account.Refill(now)
	lent = math.Min(amount, account.tokens)
	if lent <= 0 {
		return 0, 0
	}
	account.tokens -= lent
	account.lastID++
	account.loans = append(account.loans, loan{id: account.lastID, amount: lent, expires: now.Add(ttl)})
	return account.lastID, lent
}

// Settle frees the capacity taken up by tokens of a loan that the borrower
// reports as spent. It ignores an expired loan, whose capacity is already free.
func (account *Account) Settle(now time.Time, id uint64, spent float64) {
	account.Refill(now)
	for index := range account.loans {
		if account.loans[index].id == id {
			account.loans[index].amount = math.Max(0, account.loans[index].amount-spent)
			return
		}
	}
}

// Deposit adds tokens moved from another account, up to the free capacity.
func (account *Account) Deposit(now time.Time, amount float64) {
	account.Refill(now)
	account.tokens = math.Min(account.tokens+amount, account.maxTokens())
}

// Wait returns the time until the account has the given amount of tokens, and
// false if it never will.
func (account *Account) Wait(now time.Time, amount float64) (time.Duration, bool) {
	account.Refill(now)
	if account.tokens >= amount {
		return 0, true
	}
	if account.rate <= 0 || amount > account.capacity {
		return 0, false
	}
	return time.Duration((amount - account.tokens) / account.rate * float64(time.Second)), true
}
