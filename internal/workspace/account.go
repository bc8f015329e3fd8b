// Package workspace counts the requests of each workspace over the whole
// fleet. Tokens accrue in accounts whose rates and caps add up to the
// workspace's, and are moved between accounts, never copied: what one account
// lends counts against its own cap until the loan can no longer be used. In
// every interval of length t the fleet admits at most rate*t + burst.
//
// Account, Holder and Spender are pure state machines.
package workspace

import (
	"math"
	"time"
)

// Account is a token bucket that lends tokens.
type Account struct {
	rate    float64 // tokens a second
	cap     float64
	tokens  float64
	updated time.Time
	loans   []loan
	lastID  uint64
}

// loan counts against the cap of its giver until it is reported as spent or
// can no longer be used.
type loan struct {
	id     uint64
	amount float64
	until  time.Time
}

// NewAccount returns an account that starts empty.
func NewAccount(now time.Time, rate, burst float64) *Account {
	return &Account{rate: rate, cap: burst, updated: now}
}

// Limit changes the rate and cap of an account. Tokens above the new cap are
// dropped.
func (account *Account) Limit(now time.Time, rate, burst float64) {
	account.Refill(now)
	account.rate, account.cap = rate, burst
	account.tokens = min(account.tokens, account.room())
}

// Refill accrues tokens up to the time.
func (account *Account) Refill(now time.Time) {
	kept := account.loans[:0]
	for _, loan := range account.loans {
		if now.Before(loan.until) {
			kept = append(kept, loan)
		}
	}
	account.loans = kept
	if now.After(account.updated) {
		account.tokens += account.rate * now.Sub(account.updated).Seconds()
		account.updated = now
	}
	account.tokens = min(account.tokens, account.room())
}

// room returns what the account may hold beside its loans.
func (account *Account) room() float64 {
	var lent float64
	for _, loan := range account.loans {
		lent += loan.amount
	}
	return math.Max(0, account.cap-lent)
}

// Tokens returns what the account holds at the time.
func (account *Account) Tokens(now time.Time) float64 {
	account.Refill(now)
	return account.tokens
}

// Spend takes tokens if the account holds them all.
func (account *Account) Spend(now time.Time, amount float64) bool {
	account.Refill(now)
	if account.tokens < amount {
		return false
	}
	account.tokens -= amount
	return true
}

// Lend moves up to an amount out of the account. The taker must use it within
// the given time, measured from before it asked.
func (account *Account) Lend(now time.Time, amount float64, ttl time.Duration) (id uint64, lent float64) {
	account.Refill(now)
	lent = math.Min(amount, account.tokens)
	if lent <= 0 {
		return 0, 0
	}
	account.tokens -= lent
	account.lastID++
	account.loans = append(account.loans, loan{id: account.lastID, amount: lent, until: now.Add(ttl)})
	return account.lastID, lent
}

// Settle frees the cap of the part of a loan that its taker reports as spent.
// A loan that has run out is not known any more; its cap is free already.
func (account *Account) Settle(now time.Time, id uint64, spent float64) {
	account.Refill(now)
	for index := range account.loans {
		if account.loans[index].id == id {
			account.loans[index].amount = math.Max(0, account.loans[index].amount-spent)
			return
		}
	}
}

// Deposit adds tokens that another account has moved, up to the cap.
func (account *Account) Deposit(now time.Time, amount float64) {
	account.Refill(now)
	account.tokens = math.Min(account.tokens+amount, account.room())
}

// Wait returns the time until the account holds an amount, and false if it
// never will.
func (account *Account) Wait(now time.Time, amount float64) (time.Duration, bool) {
	account.Refill(now)
	if account.tokens >= amount {
		return 0, true
	}
	if account.rate <= 0 || amount > account.cap {
		return 0, false
	}
	return time.Duration((amount - account.tokens) / account.rate * float64(time.Second)), true
}
