package check

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	turnTokens   = 100 // that each turn generates, and at most
	programTurns = 3
	turnResends  = 2 // of a turn that has failed, after its requester attempts
	turnAttempts = 2 // requester attempts of each of them
	lostTries    = 5 // tries that reach no worker, from which LOST is broken
)

// turnOutcome is what became of a turn.
type turnOutcome struct {
	served sent
	ok     bool
	tries  []sent
}

// sendTurn sends a turn as a program does: again after a promise, and from its start
// after a failure.
func (deployment *deployment) sendTurn(request sent, first int) turnOutcome {
	var outcome turnOutcome
	for resend := range turnResends + 1 {
		limit := time.Now().Add(defaultLimit)
		for range turnAttempts {
			request.limit = time.Until(limit)
			answer := deployment.send(deployment.pick(first+len(outcome.tries)), request)
			outcome.tries = append(outcome.tries, answer)
			if answer.served() {
				outcome.served, outcome.ok = answer, true
				return outcome
			}
			switch answer.status {
			case http.StatusBadRequest, http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
				return outcome
			}
			time.Sleep(min(answer.retryAfter, time.Until(limit)/3))
		}
		time.Sleep(time.Duration(resend+1) * 100 * time.Millisecond)
	}
	return outcome
}

// TestTurnAfterRemovedHost removes the host at which programs began. Their budgets are
// exactly what their turns generate.
func TestTurnAfterRemovedHost(t *testing.T) {
	const programs = 10
	tenants := []tenantRecord{{Name: "council", Keys: []string{"key-1"}}}
	deployment := newDeployment(t, configuration(1, tenants))
	deployment.startWorkers("models", 9, 8, turnTokens/eventTokens, 5*time.Millisecond)
	deployment.startHosts(3)
	begun := time.Now()
	turn := func(program, number int, previous string) sent {
		return sent{
			path: "/dialogue/revision", key: "key-1", body: fmt.Sprintf("turn %d of %d;", number, program), program: fmt.Sprintf("program-%d", program),
			previous: previous, budget: programTurns * turnTokens, tokens: turnTokens, programLeft: 30*time.Second - time.Since(begun),
		}
	}
	previous := make([]string, programs)
	for program := range programs {
		answer := deployment.send(deployment.hosts[0], turn(program, 1, ""))
		if !answer.served() {
			giveUp(t, fmt.Errorf("first turn of program %d: status %d, %v", program, answer.status, answer.err))
		}
		previous[program] = answer.attempt
	}
	if removed := deployment.hosts[0]; trouble() {
		removed.signal(t, syscall.SIGTERM)
		removed.awaitExit(t)
	} else {
		time.Sleep(4 * time.Second)
	}

	var mutex sync.Mutex
	lost, served := 0, 0
	var wait sync.WaitGroup
	for program := range programs {
		wait.Go(func() {
			for number := 2; number <= programTurns; number++ {
				outcome := deployment.sendTurn(turn(program, number, previous[program]), 1)
				mutex.Lock()
				if outcome.ok {
					served++
					previous[program] = outcome.served.attempt
					mutex.Unlock()
					continue
				}
				last := outcome.tries[len(outcome.tries)-1]
				deployment.record.note(t, "turn %d of program %d, which has used %d of %d tokens: %d tries, the last answered %d", number, program, (number-1)*turnTokens, programTurns*turnTokens, len(outcome.tries), last.status)
				if len(outcome.tries) >= lostTries && !deployment.reachedWorker(outcome.tries) && time.Since(begun) < 30*time.Second {
					lost++
				}
				mutex.Unlock()
				return
			}
		})
	}
	firstTurns := 0
	for program := range programs {
		// Programs that begin meanwhile show that the hosts and the workers serve.
		outcome := deployment.sendTurn(turn(programs+program, 1, ""), 1+program%2)
		if outcome.ok && len(outcome.tries) == 1 {
			firstTurns++
		}
		time.Sleep(300 * time.Millisecond)
	}
	wait.Wait()
	deployment.record.note(t, "%d continued turns were served, %d reached no worker in %d tries or more; %d of %d first turns were served meanwhile", served, lost, lostTries, firstTurns, programs)
	if lost > 0 && firstTurns*10 >= programs*9 {
		t.Errorf("LOST broken: %d turns reached no worker in %d tries or more", lost, lostTries)
	}
}

// reachedWorker reports whether a worker has run one of the requests.
func (deployment *deployment) reachedWorker(tries []sent) bool {
	ids := make(map[string]bool)
	for _, try := range tries {
		ids[try.attempt] = true
	}
	for _, run := range deployment.runs() {
		if ids[run.attempt] {
			return true
		}
	}
	return false
}
