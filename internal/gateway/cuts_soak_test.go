package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/platform/standin"
)

const (
	soakDuration = 6 * time.Second
	soakCallers  = 6
	// soakSeedsVariable sets the number of seeds of TestCutsSoak, and the first one if
	// it has the form FIRST:COUNT.
	soakSeedsVariable = "GODWITSPREAD_SOAK_SEEDS"
)

// soakSeeds returns the seeds to run.
func soakSeeds(t *testing.T) []uint64 {
	first, count := 1, 2
	if text := os.Getenv(soakSeedsVariable); text != "" {
		begin, number, found := strings.Cut(text, ":")
		if !found {
			begin, number = "1", text
		}
		var errFirst, errCount error
		first, errFirst = strconv.Atoi(begin)
		count, errCount = strconv.Atoi(number)
		if errFirst != nil || errCount != nil {
			t.Fatalf("%s is %q, expected COUNT or FIRST:COUNT", soakSeedsVariable, text)
		}
	}
	seeds := make([]uint64, count)
	for number := range seeds {
		seeds[number] = uint64(first + number)
	}
	return seeds
}

// soak is one run of TestCutsSoak.
type soak struct {
	*fleet
	randomMutex sync.Mutex
	random      *rand.Rand

	mutex    sync.Mutex // guards the fields below and the fields of the fleet
	streams  []string   // what the caller has received of each stream, over its attempts
	rerun    int        // streams of which targets of two versions ran a part
	filings  []string
	begun    share // new streams
	resumed  share // streams that callers resumed
	failures []string
}

// share counts how many of the requests sent were served.
type share struct{ sent, served int }

// TestCutsSoak checks under random faults that no stream holds events of two software
// versions, that non-idempotent requests run once at most, that a refusal is true, and
// that streams are resumed. Hosts lose their targets in each way, are killed and
// restarted and lose the store; engines break off streams, come and leave.
func TestCutsSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			soak := &soak{fleet: newFleet(t, 5), random: rand.New(rand.NewPCG(seed, seed))}
			soak.addEngine("e-3", "v1")
			for number, engine := range soak.engines {
				soak.setUp(engine, fmt.Sprintf("v%d", number%2+1))
			}
			time.Sleep(entryPropagation)
			end := time.Now().Add(soakDuration)
			var running sync.WaitGroup
			for range soakCallers {
				running.Add(2)
				go func() {
					defer running.Done()
					for time.Now().Before(end) {
						soak.callStream()
					}
				}()
				go func() {
					defer running.Done()
					for time.Now().Before(end) {
						soak.callFiling()
					}
				}()
			}
			for time.Now().Before(end) {
				soak.injectFault()
				time.Sleep(time.Duration(100+soak.number(400)) * time.Millisecond)
			}
			running.Wait()
			t.Logf("new streams %+v, resumed streams %+v, filings %d; %d streams ran at two versions, of which the caller received one", soak.begun, soak.resumed, len(soak.filings), soak.rerun)
			is.Equal(soak.failures, nil)
			for _, received := range soak.streams {
				is.True(len(soak.versionsIn(received)) <= 1) // versions in one stream
			}
			for _, attempt := range soak.filings {
				is.True(len(soak.runsOf(attempt)) <= 1)
			}
			if soak.resumed.sent >= 12 {
				is.True(2*soak.resumed.served*soak.begun.sent >= soak.begun.served*soak.resumed.sent)
			}
		})
	}
}

// setUp sets up an engine and writes its entry again.
func (soak *soak) setUp(engine *standin.Target, version string) {
	soak.configure(engine, version)
	soak.store.Put("keyed.servers", engine.ID, engine.Entry("ready"))
}

// configure gives an engine a version, and makes it break off a fifth of its streams.
func (soak *soak) configure(engine *standin.Target, version string) {
	engine.Version, engine.Work, engine.Comments = version, 5*time.Millisecond, true
	engine.SetBehaviour(func(standin.Run) standin.Behaviour {
		if soak.number(5) == 0 {
			return standin.Truncate
		}
		return standin.Normal
	})
}

func (soak *soak) number(limit int) int {
	soak.randomMutex.Lock()
	defer soak.randomMutex.Unlock()
	return soak.random.IntN(limit)
}

// host returns a random host that is running.
func (soak *soak) host() *testHost {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	for {
		if host := soak.hosts[soak.number(len(soak.hosts))]; !host.stopped {
			return host
		}
	}
}

// callStream begins a stream and resumes it at other hosts while it breaks off.
func (soak *soak) callStream() {
	response := soak.host().send(testRequest{path: "/summary/a", key: key, limit: time.Second})
	first, events := response.attempt, strings.Count(response.body, "\n\n")
	attempts, received := []string{first}, wholeEvents(response.body)
	soak.mutex.Lock()
	soak.begun.sent++
	if response.status == 200 && events > 0 {
		soak.begun.served++
	}
	soak.mutex.Unlock()
	for try := 0; response.status == 200 && !response.complete && events > 0 && try < 3; try++ {
		response = soak.host().send(testRequest{
			path: "/summary/a", key: key, limit: time.Second, header: map[string]string{"Last-Event-Id": strconv.Itoa(events), "Resumes": first},
		})
		brought := 0
		if response.status == 200 {
			brought = strings.Count(response.body, "\n\n")
			received += wholeEvents(response.body)
			attempts = append(attempts, response.attempt)
		}
		events += brought
		soak.mutex.Lock()
		soak.resumed.sent++
		if brought > 0 || response.complete && response.status == 200 {
			soak.resumed.served++
		}
		if response.status == 503 && len(soak.runsOf(response.attempt)) > 0 {
			soak.failures = append(soak.failures, response.attempt+" was refused and has run")
		}
		soak.mutex.Unlock()
	}
	if events > 0 {
		soak.mutex.Lock()
		soak.streams = append(soak.streams, received)
		if len(soak.versionsOf(attempts...)) > 1 {
			soak.rerun++
		}
		soak.mutex.Unlock()
	}
}

// wholeEvents returns the events of a response without a last one that is cut off.
func wholeEvents(body string) string { return body[:strings.LastIndex(body, "\n\n")+1] }

// versionsIn returns the software versions of the engines that sent events.
func (soak *soak) versionsIn(events string) map[string]bool {
	versions := make(map[string]bool)
	for _, engine := range soak.engines {
		if strings.Contains(events, ": "+engine.ID+"\n") {
			versions[engine.Version] = true
		}
	}
	return versions
}

// callFiling sends a request that must not run twice.
func (soak *soak) callFiling() {
	response := soak.host().send(testRequest{path: "/filing/a", key: key, body: "file this", limit: time.Second})
	time.Sleep(5 * time.Millisecond)
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	soak.filings = append(soak.filings, response.attempt)
	runs := len(soak.runsOf(response.attempt))
	if response.status == 503 && runs > 0 || response.status == 200 && (runs != 1 || !response.complete) {
		soak.failures = append(soak.failures, fmt.Sprintf("filing %s: status %d, %d runs", response.attempt, response.status, runs))
	}
}

// injectFault begins or ends a random fault.
func (soak *soak) injectFault() {
	host := soak.host()
	switch soak.number(8) {
	case 0, 1, 2:
		modes := []cutMode{connected, hanging, resetting, refusing}
		host.targets.set(modes[soak.number(len(modes))])
	case 3:
		host.targets.set(connected)
	case 4:
		lost := host.name
		soak.store.SetFault(func(_, from string) standin.Fault {
			if from == lost {
				return standin.Reset
			}
			return standin.Healthy
		})
	case 5:
		soak.store.SetFault(nil)
	case 6:
		soak.mutex.Lock()
		running := 0
		for _, other := range soak.hosts {
			if !other.stopped {
				running++
			}
		}
		if running > 2 {
			host.kill()
		} else {
			for _, other := range soak.hosts {
				if other.stopped {
					soak.startHost(other)
				}
			}
		}
		soak.mutex.Unlock()
	case 7:
		soak.mutex.Lock()
		version, id := fmt.Sprintf("v%d", soak.number(3)+1), fmt.Sprintf("e-%d", len(soak.engines))
		leaving := soak.engines[len(soak.engines)-3]
		engine := &standin.Target{ID: id, Service: "engines", DataCentre: "dc-1", Events: eventsPerStream}
		soak.configure(engine, version)
		soak.engines = append(soak.engines, engine)
		soak.startTarget(engine)
		soak.mutex.Unlock()
		soak.store.Put("keyed.servers", leaving.ID, leaving.Entry("draining"))
	}
}
