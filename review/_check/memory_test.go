package check

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	memoryMb       = 154     // limits.memoryMb of the settings
	bodyBytes      = 4 << 20 // limits.bodyBytes of the configuration
	memoryPoll     = 5 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	filingLimit    = 6 * time.Second // of a filing
	closedChannels = 3               // kept channels that may be closed without an answer
)

// memory returns the resident memory of the process of a host in megabytes.
func (host *host) memory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", host.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				return 0
			}
			return kilobytes / 1024
		}
	}
	return 0
}

// enforceMemory kills the process of a host that exceeds its memory, as the platform
// does, and starts it again.
func (deployment *deployment) enforceMemory(host *host, peak *atomic.Int64) {
	for deployment.ctx.Err() == nil {
		used := host.memory()
		peak.Store(max(peak.Load(), int64(used)))
		if used > memoryMb {
			deployment.record.note(deployment.t, "host %s uses %.0f MB of %d and is killed", host.name, used, memoryMb)
			// It fails if the process has ended meanwhile.
			_ = host.command.Process.Kill()
			<-host.exited
			time.Sleep(restartDelay)
			host.start(deployment.t)
		}
		time.Sleep(memoryPoll)
	}
}

// keptChannel sends filings on one kept channel until the stop, and reports the attempts
// whose channel was closed without an answer.
func (deployment *deployment) keptChannel(host *host, stop time.Time, closed func(attempt string)) {
	for time.Now().Before(stop) {
		socket, err := net.DialTimeout("tcp", host.front(), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(socket)
		for number := 0; time.Now().Before(stop); number++ {
			attempt := fmt.Sprintf("%016x", attempts.Add(1))
			body := "filing " + attempt
			deployment.record.add("sent %s POST /filing/x to %s on a channel after %d requests", attempt, host.name, number)
			_ = socket.SetDeadline(time.Now().Add(filingLimit + responseMargin))
			_, err := fmt.Fprintf(socket, "POST /filing/x HTTP/1.1\r\nHost: %s\r\nGodwitspread-Attempt-Id: %s\r\nGodwitspread-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s",
				siteHost, attempt, filingLimit.Milliseconds(), len(body), body)
			var response *http.Response
			if err == nil {
				response, err = http.ReadResponse(reader, nil)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			if err != nil {
				deployment.record.add("channel of %s closed without an answer: %v", attempt, err)
				if number > 0 {
					closed(attempt)
				}
				break
			}
			deployment.record.add("answered %s: status %d", attempt, response.StatusCode)
			if response.Close {
				break
			}
		}
		_ = socket.Close()
	}
}

// TestKeptChannelsBesideLargeRequests sends requests with the largest body that the
// configuration allows, at once or one after the other, beside filings on kept channels.
func TestKeptChannelsBesideLargeRequests(t *testing.T) {
	const (
		channels = 8                       // kept, to each host
		large    = 45                      // requests to each host
		period   = 2 * time.Second         // in which they come at once: three quarters of what a link of 1000 Mbit/s carries
		work     = 1500 * time.Millisecond // the longest work of a filing
	)
	tenants := []tenantRecord{{Name: "council", Keys: []string{"key-1"}}}
	deployment := newDeployment(t, configuration(1, tenants))
	deployment.startWorkers("records", 17, 6, 0, work)
	deployment.startHosts(3)
	peaks := make([]atomic.Int64, len(deployment.hosts))
	for number, host := range deployment.hosts {
		go deployment.enforceMemory(host, &peaks[number])
	}
	var mutex sync.Mutex
	var lost []string
	var wait sync.WaitGroup
	stop := time.Now().Add(12 * time.Second)
	for _, host := range deployment.hosts {
		for range channels {
			wait.Go(func() {
				deployment.keptChannel(host, stop, func(attempt string) {
					mutex.Lock()
					defer mutex.Unlock()
					lost = append(lost, attempt)
				})
			})
		}
	}
	time.Sleep(2 * time.Second)
	body := strings.Repeat("minutes ", bodyBytes/8)
	var served atomic.Int64
	for _, host := range deployment.hosts {
		post := func() {
			if deployment.send(host, sent{path: "/filing/large", key: "key-1", body: body, limit: filingLimit}).served() {
				served.Add(1)
			}
		}
		if trouble() {
			wait.Go(func() {
				for range large {
					wait.Go(post)
					time.Sleep(period / large)
				}
			})
			continue
		}
		wait.Go(func() {
			for range large {
				post()
			}
		})
	}
	wait.Wait()
	ran := make(map[string]bool)
	for _, run := range deployment.runs() {
		ran[run.attempt] = true
	}
	closedAfterRun := 0
	for _, attempt := range lost {
		if ran[attempt] {
			closedAfterRun++
		}
	}
	for number, host := range deployment.hosts {
		deployment.record.note(t, "host %s used %d MB at its peak, allowed %d", host.name, peaks[number].Load(), memoryMb)
	}
	deployment.record.note(t, "%d of %d large requests were served; %d kept channels were closed without an answer, %d of them after the request was passed on, allowed %d",
		served.Load(), large*len(deployment.hosts), len(lost), closedAfterRun, closedChannels)
	if closedAfterRun > closedChannels {
		t.Errorf("LOST broken: %d requests of kept channels were passed on to sound workers, and their channels closed without an answer", closedAfterRun)
	}
}
