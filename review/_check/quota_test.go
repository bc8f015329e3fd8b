package check

import (
	"fmt"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	tenantRate  = 20.0
	tenantBurst = 40.0
)

// quotaBound is the number of requests of a tenant that may be sent and run in a window.
func quotaBound() float64 {
	return (tenantRate*windowTime.Seconds()+tenantBurst)*(1+overage) + slack
}

// quotaTenants returns tenants with the same limit.
func quotaTenants(count int) []tenantRecord {
	var tenants []tenantRecord
	for number := range count {
		tenants = append(tenants, tenantRecord{Name: fmt.Sprintf("council-%d", number+1), Keys: []string{fmt.Sprintf("key-%d", number+1)}, Rate: tenantRate, Burst: tenantBurst})
	}
	return tenants
}

// requests collects the requests of the tenants.
type requests struct {
	mutex sync.Mutex
	list  []sent
	wait  sync.WaitGroup
}

// burst sends a number of lookups of a tenant, evenly over a period, and returns at its end.
func (requests *requests) burst(deployment *deployment, tenant tenantRecord, count int, period time.Duration) {
	start := time.Now()
	for number := range count {
		time.Sleep(time.Until(start.Add(period * time.Duration(number) / time.Duration(count))))
		requests.wait.Go(func() {
			request := deployment.send(deployment.pick(number), sent{method: "GET", path: "/lookup/minutes", key: tenant.Keys[0]})
			requests.mutex.Lock()
			defer requests.mutex.Unlock()
			requests.list = append(requests.list, request)
		})
	}
}

// checkQuota checks that no window of a tenant contains more requests that were sent
// and began to run than QUOTA allows.
func checkQuota(t *testing.T, deployment *deployment, sentRequests []sent, tenants []tenantRecord) {
	t.Helper()
	sentAt := make(map[string]time.Time)
	for _, request := range sentRequests {
		sentAt[request.attempt] = request.sentAt
	}
	for _, tenant := range tenants {
		type span struct{ sent, ran time.Time }
		var spans []span
		for _, run := range deployment.runs() {
			if at, known := sentAt[run.attempt]; known && run.tenant == tenant.Name {
				spans = append(spans, span{at, run.at})
			}
		}
		sort.Slice(spans, func(a, b int) bool { return spans[a].sent.Before(spans[b].sent) })
		most, from := 0, time.Time{}
		for index, first := range spans {
			count := 0
			for _, span := range spans[index:] {
				if !span.ran.After(first.sent.Add(windowTime)) {
					count++
				}
			}
			if count > most {
				most, from = count, first.sent
			}
		}
		deployment.record.note(t, "tenant %s: %d requests sent and run in the %v from %.3f, allowed %.0f", tenant.Name, most, windowTime, from.Sub(deployment.record.start).Seconds(), quotaBound())
		if float64(most) > quotaBound() {
			t.Errorf("QUOTA broken for tenant %s: %d requests in %v, allowed %.0f", tenant.Name, most, windowTime, quotaBound())
		}
	}
}

// TestQuotaAfterPlannedStop stops and starts one host after each tenant has used its burst.
func TestQuotaAfterPlannedStop(t *testing.T) {
	tenants := quotaTenants(8)
	deployment := newDeployment(t, configuration(1, tenants))
	deployment.startWorkers("records", 6, 6, 0, 2*time.Millisecond)
	deployment.startHosts(3)
	var requests requests
	each := func(count int, period time.Duration) {
		var wait sync.WaitGroup
		for _, tenant := range tenants {
			wait.Go(func() { requests.burst(deployment, tenant, count, period) })
		}
		wait.Wait()
	}
	each(3, 100*time.Millisecond)
	time.Sleep(windowTime + 2*time.Second)
	each(145, 600*time.Millisecond)
	if stopped := deployment.hosts[0]; trouble() {
		stopped.signal(t, syscall.SIGTERM)
		go func() {
			stopped.awaitExit(t)
			stopped.start(t)
		}()
	}
	each(260, 5200*time.Millisecond)
	requests.wait.Wait()
	time.Sleep(time.Second)
	checkQuota(t, deployment, requests.list, tenants)
}
