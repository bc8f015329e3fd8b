package trial

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/godwitspread/godwitspread/platform/standin"
)

const (
	poisonHosts   = 6
	restartRounds = 3
	poisonTools   = 9
	workerBackIn  = 3 * time.Second        // after a crash
	poisonPause   = 500 * time.Millisecond // between two attempts of the caller
	maxPoisonRuns = 3                      // retries that may reach targets later than stabilityWindowMs after the third crash
)

// crash is a target that ended because of a request.
type crash struct {
	at      time.Time
	attempt string
	target  string
}

// poisonedTools are targets that end when they begin to run the request with the path, and
// start again some seconds later with a new ID at the same address.
type poisonedTools struct {
	deployment *deployment
	mutex      sync.Mutex
	crashes    []crash
	starts     int
	inTouch    map[string]bool // by attempt: the host that it was sent to was in touch
}

func (tools *poisonedTools) start(address string) error {
	tools.mutex.Lock()
	number := tools.starts
	tools.starts++
	tools.mutex.Unlock()
	target := &standin.Target{ID: fmt.Sprintf("tool-%d", number), Service: "old", DataCentre: fmt.Sprintf("zone-%c", 'a'+number%3), Work: 20 * time.Millisecond}
	target.SetBehaviour(func(run standin.Run) standin.Behaviour {
		if !strings.HasPrefix(run.Path, "/filing/poison") {
			return standin.Normal
		}
		tools.mutex.Lock()
		tools.crashes = append(tools.crashes, crash{time.Now(), run.Attempt, run.Target})
		tools.mutex.Unlock()
		tools.deployment.record.printf("%s begins to run %s and crashes", run.Target, run.Attempt)
		go func() {
			target.Close()
			tools.deployment.retire(target)
			time.Sleep(workerBackIn)
			if err := tools.start(target.Address); err != nil {
				tools.deployment.record.printf("%s is not back: %v", run.Target, err)
			}
		}()
		return standin.Crash
	})
	return tools.deployment.startTarget(target, address)
}

// poison plays a request that crashes each target which begins to run it and comes again at
// any host, before and during restarts of the hosts in turn.
func poison(record *record, trouble bool) (held bool, err error) {
	deployment, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer deployment.close()
	tools := &poisonedTools{deployment: deployment, inTouch: make(map[string]bool)}
	for range poisonTools {
		if err := tools.start("127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	configuration := silentConfiguration(1, "old")
	if err := deployment.putConfiguration(configuration); err != nil {
		return false, err
	}
	if err := deployment.addHosts(poisonHosts); err != nil {
		return false, err
	}
	if err := deployment.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	finished := make(chan struct{})
	var caller sync.WaitGroup
	caller.Go(func() {
		for try := 0; ; try++ {
			select {
			case <-finished:
				return
			case <-time.After(poisonPause):
			}
			host := deployment.hosts[try%poisonHosts]
			if inTouch := deployment.inTouch(host); inTouch && deployment.isReady(host) {
				response := deployment.send(host, standin.CallerRequest{Path: "/filing/poison", Key: "key-0", Body: "the same body"})
				tools.mutex.Lock()
				tools.inTouch[response.Attempt] = inTouch
				tools.mutex.Unlock()
			}
		}
	})
	time.Sleep(12 * time.Second)
	if trouble {
		for round := range restartRounds {
			record.printf("restart %d of all hosts in turn begins", round+1)
			for _, host := range deployment.hosts {
				if err := deployment.restart(host); err != nil {
					return false, err
				}
			}
		}
	} else {
		time.Sleep(58 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(finished)
	caller.Wait()
	return tools.judge(record)
}

// judge counts the retries that reached targets later than stabilityWindowMs after the
// third crash.
func (tools *poisonedTools) judge(record *record) (held bool, err error) {
	tools.mutex.Lock()
	defer tools.mutex.Unlock()
	if len(tools.crashes) == 0 {
		return false, fmt.Errorf("the request has reached no target")
	}
	late := 0
	for index, crash := range tools.crashes {
		if index >= 3 && tools.inTouch[crash.attempt] && crash.at.Sub(tools.crashes[2].at) > stabilityMillis*time.Millisecond {
			late++
		}
	}
	record.printf("%d targets crashed, %d of them by retries that hosts in touch sent later than %d ms after the third crash; at most %d may", len(tools.crashes), late, stabilityMillis, maxPoisonRuns)
	return late <= maxPoisonRuns, nil
}

// restart stops a host by SIGTERM, and starts it again when it has ended.
func (deployment *deployment) restart(host *host) error {
	deployment.signal(host, syscall.SIGTERM)
	select {
	case <-host.exited:
	case <-time.After(8 * time.Second):
		deployment.signal(host, syscall.SIGKILL)
		<-host.exited
	}
	deployment.record.printf("%s has ended; it is started again", host.name)
	if err := deployment.writeSettings(host, false); err != nil {
		return err
	}
	if err := deployment.start(host); err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if deployment.isReady(host) {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready after its start", host.name)
}
