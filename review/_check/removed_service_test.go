package check

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestBudgetAfterServiceMoved moves a route to another service, in a version that no
// longer lists the earlier service, while turns of a program run there.
func TestBudgetAfterServiceMoved(t *testing.T) {
	const (
		helpers = 10 // turns of the program that run at the same time
		budget  = 2000
	)
	tenants := []tenantRecord{{Name: "council", Keys: []string{"key-1"}}}
	deployment := newDeployment(t, configuration(1, tenants))
	deployment.startWorkers("models", 6, 8, turnTokens/eventTokens, 100*time.Millisecond)
	deployment.startWorkers("models-next", 6, 8, turnTokens/eventTokens, 10*time.Millisecond)
	deployment.startHosts(3)
	handed := 0 // tokens that the requester got in all turns
	spent := false
	var mutex sync.Mutex
	turn := func(number int) {
		answer := deployment.send(deployment.pick(number), sent{
			path: "/summary/item", key: "key-1", body: fmt.Sprintf("item %d", number), program: "program-1", budget: budget, tokens: turnTokens, programLeft: 30 * time.Second,
		})
		mutex.Lock()
		defer mutex.Unlock()
		if answer.status == http.StatusOK {
			handed += eventTokens * strings.Count(string(answer.answer), "\n\n")
		}
		spent = spent || answer.status == http.StatusPaymentRequired
	}
	var running sync.WaitGroup
	for number := range helpers {
		running.Go(func() { turn(number) })
	}
	time.Sleep(400 * time.Millisecond)
	if trouble() {
		text := strings.ReplaceAll(string(configuration(2, tenants)), `"models"`, `"models-next"`)
		deployment.store.Put("keyed.op", "config", []byte(text))
		deployment.record.note(t, "version 2 moves the streaming routes to the service models-next")
	}
	running.Wait()
	time.Sleep(2500 * time.Millisecond) // configMs and some
	for number := 0; number < 6*helpers && !spent; number++ {
		turn(number)
	}
	deployment.record.note(t, "the program got %d tokens, its budget is %d and the most of one turn %d; told that it is spent: %v", handed, budget, turnTokens, spent)
	if handed > budget+turnTokens {
		t.Errorf("BUDGET broken: %d tokens were handed out, allowed %d", handed, budget+turnTokens)
	}
}
