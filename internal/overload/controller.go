// Package overload decides on one host which programs start while a service of
// model engines is short of capacity. It performs no I/O.
package overload

import (
	"sync"
	"time"
)

const (
	freeLoad   = 1.3 // requests in flight per slot below which every program starts
	targetLoad = 1.2 // requests in flight per slot at which programs start at the rate at which the engines complete them

	memory       = 30 * time.Second       // time constant of the averages
	minStarts    = 4                      // decayed number of starts from which the averages count
	minAhead     = 500 * time.Millisecond // bounds of the capacity that may be committed ahead
	maxAhead     = 10 * time.Second
	urgentCredit = time.Second      // capacity that urgent programs may use before it is free
	shareCredit  = urgentCredit / 2 // the same for workspaces that use less than their share
	shareWindow  = 2 * time.Second  // time constant of the usage that shares are compared by
	minTokens    = 4                // a host admits few programs a second; a smaller burst would refuse those that arrive close together

	defaultTimeLeft = 2 * time.Second // assumed for programs without a deadline
	minRetryDelay   = 60 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
	retryFraction   = 0.05 // of the time left, mean delay before a refused program tries again
	maxRetryShare   = 0.25 // of the time left; callers honour delays up to a third of it
)

// Program describes a program at its first turn.
type Program struct {
	Workspace string
	Urgent    bool
	TimeLeft  time.Duration // until the program's deadline; 0 without a deadline
}

// Load is the load of a service as this host knows it.
type Load struct {
	InFlight   int
	Slots      int
	Overloaded bool // too high for any new program
	Hosts      int  // hosts among which the callers are spread, at least 1
}

// perSlot returns the requests in flight per slot.
func (load Load) perSlot() float64 { return float64(load.InFlight) / float64(max(1, load.Slots)) }

// Decision states whether a program starts, with its inputs.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // if it does not start
	Load       float64       // requests in flight per slot
	Rate       float64       // programs and sub-agents that this host starts a second; 0 while that is unknown
	Tokens     float64       // starts that are available now; negative if more were used
}

// Controller decides for the programs of one service. It is safe for concurrent use.
//
// A turn without a previous one, of a program or of a sub-agent, is a start. The
// controller learns the engine time that follows from a start, and hence the rate at
// which the engines can sustain starts. This host's part of that rate fills a token
// bucket. Sub-agents always start, and take tokens as programs do. The size of the
// bucket is the capacity of the time to the programs' deadlines, so that short bursts
// are admitted whole.
type Controller struct {
	random func() float64 // returns a random number in [0, 1)

	mutex    sync.Mutex
	averages averages
	tokens   float64
	hosts    int       // number of hosts that the tokens are a part for
	filled   time.Time // when tokens were last added; zero before the first start
	usage    usage
}

// New returns a controller with a source of random numbers in [0, 1).
func New(random func() float64) *Controller {
	return &Controller{random: random, usage: newUsage()}
}

// Decide decides whether a program starts. If it does, Decide counts the start.
func (controller *Controller) Decide(program Program, load Load, now time.Time) Decision {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	decision := Decision{Load: load.perSlot()}
	base, known := controller.refill(load, now)
	decision.Rate, decision.Tokens = rate(base, decision.Load), controller.tokens
	controller.usage.observe(program.Workspace, now)
	decision.Admitted = !load.Overloaded && (!known || decision.Load < freeLoad || controller.tokens >= controller.needed(program, base))
	if decision.Admitted {
		controller.start(program, base, now)
		return decision
	}
	decision.RetryAfter = controller.retryDelay(program)
	return decision
}

// Start counts a start that needed no decision, because its program has started before.
func (controller *Controller) Start(program Program, load Load, now time.Time) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	base, _ := controller.refill(load, now)
	controller.start(program, base, now)
}

// Withdraw removes a start that Decide has admitted but that did not happen.
func (controller *Controller) Withdraw(program Program, now time.Time) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.tokens++
	controller.averages.withdraw(program.TimeLeft, now)
	controller.usage.withdraw(program.Workspace, now)
}

// Done records the end of a turn that occupied an engine for a time.
func (controller *Controller) Done(duration time.Duration, load Load, now time.Time) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.averages.done(time.Duration(float64(duration)/max(1, load.perSlot())), now)
}

// refill adds the tokens of the time since the last call. It returns this host's part
// of the starts that the engines sustain a second, and whether that is known.
func (controller *Controller) refill(load Load, now time.Time) (base float64, known bool) {
	work, known := controller.averages.workPerStart(now)
	if !known {
		return 0, false
	}
	base = float64(max(1, load.Slots)) / work.Seconds() / float64(max(1, load.Hosts))
	limit := max(minTokens, base*controller.averages.timeLeft().Seconds())
	if controller.filled.IsZero() {
		controller.tokens, controller.hosts, controller.filled = limit, max(1, load.Hosts), now
		return base, true
	}
	if hosts := max(1, load.Hosts); hosts != controller.hosts {
		if controller.tokens > 0 {
			controller.tokens *= float64(controller.hosts) / float64(hosts)
		}
		controller.hosts = hosts
	}
	elapsed := max(0, now.Sub(controller.filled))
	controller.tokens = min(limit, controller.tokens+rate(base, load.perSlot())*elapsed.Seconds())
	controller.filled = now
	return base, true
}

// rate returns the starts a second at a load. Above the target load it is less than the
// engines sustain, so that the load falls.
func rate(base, load float64) float64 { return base * max(0, 1+targetLoad-load) }

// needed returns the number of tokens from which a program starts.
func (controller *Controller) needed(program Program, base float64) float64 {
	switch {
	case program.Urgent:
		return 1 - max(1, base*urgentCredit.Seconds())
	case controller.usage.belowShare(program.Workspace):
		return 1 - max(0.5, base*shareCredit.Seconds())
	default:
		return 1
	}
}

// start counts a start. The debt is limited, since the load of earlier starts also
// lowers the rate.
func (controller *Controller) start(program Program, base float64, now time.Time) {
	controller.averages.start(program.TimeLeft, now)
	controller.usage.add(program.Workspace, now)
	controller.tokens = max(controller.tokens-1, -base*urgentCredit.Seconds()-1)
}

// retryDelay returns a random delay in proportion to the time left, which spreads the
// callers that were refused at the same moment.
func (controller *Controller) retryDelay(program Program) time.Duration {
	timeLeft := program.TimeLeft
	if timeLeft <= 0 {
		timeLeft = defaultTimeLeft
	}
	delay := time.Duration(retryFraction * (0.5 + controller.random()) * float64(timeLeft))
	return min(max(delay, minRetryDelay), time.Duration(maxRetryShare*float64(timeLeft)), maxRetryDelay)
}
