package check

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestQuotaAfterOutage lets turns fail while the store is down, and sends a burst of the
// same tenant after it.
func TestQuotaAfterOutage(t *testing.T) {
	const (
		programs = 10
		fanOut   = 13 // sub-agents of each program
		outage   = 4500 * time.Millisecond
	)
	tenant := quotaTenants(1)[0]
	deployment := newDeployment(t, configuration(1, []tenantRecord{tenant}))
	deployment.startWorkers("records", 6, 6, 0, 2*time.Millisecond)
	deployment.startWorkers("models", 9, 8, 5, 5*time.Millisecond)
	deployment.startHosts(3)
	var requests requests
	requests.burst(deployment, tenant, 3, 100*time.Millisecond)
	time.Sleep(windowTime + 2*time.Second)

	turn := func(program, number int) {
		request := deployment.send(deployment.pick(number), sent{
			path: "/summary/item", key: tenant.Keys[0], body: fmt.Sprintf("item %d of program %d", number, program), program: fmt.Sprintf("program-%d", program),
			budget: 20000, tokens: 50, programLeft: 20 * time.Second,
		})
		requests.mutex.Lock()
		defer requests.mutex.Unlock()
		requests.list = append(requests.list, request)
	}
	var first sync.WaitGroup
	for program := range programs {
		first.Go(func() { turn(program, program) })
		time.Sleep(100 * time.Millisecond)
	}
	first.Wait()
	if trouble() {
		deployment.setStoreDown(true)
	}
	for number := range fanOut {
		for program := range programs {
			requests.wait.Go(func() { turn(program, number) })
		}
	}
	time.Sleep(outage)
	if trouble() {
		deployment.setStoreDown(false)
	}
	requests.wait.Wait()
	refused := 0
	for _, request := range requests.list {
		if request.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	deployment.record.note(t, "%d turns were refused with 503", refused)
	time.Sleep(3 * time.Second)
	requests.burst(deployment, tenant, 400, 2*time.Second)
	requests.wait.Wait()
	checkQuota(t, deployment, requests.list, []tenantRecord{tenant})
}
