package trial

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/godwitspread/godwitspread/platform/standin"
)

const (
	quotaTenants = 12
	quotaRate    = 8  // requests a second of a tenant
	quotaBurst   = 40 // requests
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	quotaSenders = 4 // callers of a tenant
)

// quotaRun is a request of a tenant that a target has run.
type quotaRun struct{ sent, ran time.Time }

// quotaRuns records the requests of each tenant that targets run.
type quotaRuns struct {
	mutex sync.Mutex
	sent  map[string]time.Time // by attempt
	runs  map[string][]quotaRun
}

func (runs *quotaRuns) observe(run standin.Run) standin.Behaviour {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.runs[run.Workspace] = append(runs.runs[run.Workspace], quotaRun{runs.sent[run.Attempt], time.Now()})
	return standin.Normal
}

// most returns the largest number of requests of a tenant that were both sent and run
// within a window.
func (runs *quotaRuns) most(tenant string) int {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	most := 0
	for _, first := range runs.runs[tenant] {
		count := 0
		for _, other := range runs.runs[tenant] {
			if !other.sent.Before(first.sent) && other.ran.Before(first.sent.Add(quotaWindow)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// quotaKill plays tenants whose callers are connected to one host and use their whole quota
// there. That host is killed, and the callers go on at the others.
func quotaKill(record *record, trouble bool) (held bool, err error) {
	deployment, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer deployment.close()
	runs := &quotaRuns{sent: make(map[string]time.Time), runs: make(map[string][]quotaRun)}
	for number := range 6 {
		target := &standin.Target{ID: fmt.Sprintf("tool-%d", number), Service: "old", DataCentre: fmt.Sprintf("zone-%c", 'a'+number%3), Work: 5 * time.Millisecond}
		target.SetBehaviour(runs.observe)
		if err := deployment.addTarget(target); err != nil {
			return false, err
		}
	}
	configuration := silentConfiguration(1, "old")
	var workspaces []map[string]any
	for number := range quotaTenants {
		workspaces = append(workspaces, map[string]any{"name": fmt.Sprintf("tenant-%d", number), "keys": []string{fmt.Sprintf("key-%d", number)}, "ratePerS": quotaRate, "burst": quotaBurst})
	}
	configuration["tenants"] = workspaces
	if err := deployment.putConfiguration(configuration); err != nil {
		return false, err
	}
	if err := deployment.addHosts(3); err != nil {
		return false, err
	}
	if err := deployment.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	// A new coordinator grants the limit as time goes by.
	time.Sleep(8 * time.Second)
	record.printf("callers begin to send")
	var current atomic.Int64 // host that the callers are connected to
	var callers sync.WaitGroup
	end := time.Now().Add(7 * time.Second)
	for number := range quotaTenants * quotaSenders {
		callers.Go(func() {
			for serial := 0; time.Now().Before(end); serial++ {
				attempt := fmt.Sprintf("q-%d-%d", number, serial)
				runs.mutex.Lock()
				runs.sent[attempt] = time.Now()
				runs.mutex.Unlock()
				host := deployment.hosts[int(current.Load())]
				response := standin.Send(host.address(), standin.CallerRequest{
					Path: "/lookup/x", HostName: standin.DeploymentHost, Key: fmt.Sprintf("key-%d", number%quotaTenants), Attempt: attempt,
				})
				record.printf("%s of tenant-%d to %s: status %d %v", attempt, number%quotaTenants, host.name, response.Status, response.Err)
				switch {
				case response.Status == 429:
					time.Sleep(retryAfter(response))
				case response.Status != 200:
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		deployment.signal(deployment.hosts[0], syscall.SIGKILL)
	}
	current.Store(1)
	callers.Wait()
	const allowed = (quotaRate*5+quotaBurst)*(1+quotaOverage) + quotaSlack
	worst := 0
	for number := range quotaTenants {
		tenant := fmt.Sprintf("tenant-%d", number)
		most := runs.most(tenant)
		record.printf("%s: at most %d requests in %v, %.0f are allowed", tenant, most, quotaWindow, float64(allowed))
		worst = max(worst, most)
	}
	if worst == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return float64(worst) <= allowed, nil
}

// retryAfter returns the time after which a response asks the caller to come back.
func retryAfter(response standin.CallerResponse) time.Duration {
	var seconds float64
	if _, err := fmt.Sscan(response.Header.Get("Retry-After"), &seconds); err != nil {
		return 100 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}
