package trial

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwitspread/godwitspread/platform/standin"
)

const (
	turnBytes     = 950_000 // at the highest rate, the store takes in less than partMbPerS
	usualRate     = 2.8     // turns a second of the tenant
	usualTime     = 10 * time.Second
	hotFactor     = 7.5
	hotTime       = 6500 * time.Millisecond
	hotStart      = 72 * time.Second // after the start of the hosts
	sweepEnd      = 100 * time.Second
	keptChannels  = 12 // to each host
	lostAllowed   = 3
	toolWork      = 600 * time.Millisecond
	memoryChecked = 50 * time.Millisecond
)

// memoryOf returns the anonymous resident memory of a process in KiB, or 0 if it has ended.
func memoryOf(host *host) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", host.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var size int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &size); err == nil {
			return size
		}
	}
	return 0
}

// limitMemory kills a process that exceeds memoryMb, as the platform does, until the case
// ends. It records the largest memory of the host.
func (deployment *deployment) limitMemory(host *host, peak *atomic.Int64) {
	for deployment.ctx.Err() == nil {
		size := memoryOf(host)
		peak.Store(max(peak.Load(), int64(size)))
		if size > deployment.memory<<10 {
			deployment.record.printf("%s uses %d KiB of memory, over its limit of %d MiB; the platform kills it", host.name, size, deployment.memory)
			_ = host.command.Process.Kill()
			return
		}
		time.Sleep(memoryChecked)
	}
}

// keptCaller sends requests to a host on one channel until stop, and returns whether the
// channel ended without an answer to a request that a target has begun to run.
func (deployment *deployment) keptCaller(host *host, name string, stop chan struct{}) (unanswered string) {
	conn, err := net.Dial("tcp", host.address())
	if err != nil {
		deployment.record.printf("%s cannot connect to %s: %v", name, host.name, err)
		return ""
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for serial := 0; ; serial++ {
		select {
		case <-stop:
			return ""
		default:
		}
		attempt := fmt.Sprintf("%s-%d", name, serial)
		fmt.Fprintf(conn, "POST /filing/x HTTP/1.1\r\nHost: %s\r\nGodwitspread-Attempt-Id: %s\r\nGodwitspread-Deadline-Ms: 6000\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n", standin.DeploymentHost, attempt)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			deployment.record.printf("channel of %s to %s ended without an answer to %s: %v", name, host.name, attempt, err)
			return attempt
		}
	}
}

// sweep plays a tenant that sends many times its usual for some seconds, and callers that
// use kept channels until the hosts have deleted what has expired.
func sweep(record *record, trouble bool) (held bool, err error) {
	deployment, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer deployment.close()
	for number := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+number)
		for _, target := range []*standin.Target{
			{ID: fmt.Sprintf("engine-%d", number), Service: "engines", DataCentre: zone, Events: 4, Work: 10 * time.Millisecond},
			{ID: fmt.Sprintf("tool-%d", number), Service: "old", DataCentre: zone, Work: toolWork},
		} {
			if err := deployment.addTarget(target); err != nil {
				return false, err
			}
		}
	}
	if err := deployment.putConfiguration(silentConfiguration(1, "old")); err != nil {
		return false, err
	}
	if err := deployment.addHosts(3); err != nil {
		return false, err
	}
	started := time.Now()
	if err := deployment.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	peaks := make([]atomic.Int64, len(deployment.hosts))
	for index, host := range deployment.hosts {
		go deployment.limitMemory(host, &peaks[index])
	}
	time.Sleep(time.Until(started.Add(hotStart - usualTime)))
	record.printf("a tenant sends %.1f turns of %d bytes a second", usualRate, turnBytes)
	input := strings.Repeat("x", turnBytes)
	var turns sync.WaitGroup
	var answered atomic.Int64
	hot := false
	for number := 0; time.Since(started) < hotStart+hotTime; number++ {
		rate := usualRate
		if trouble && time.Since(started) > hotStart {
			if rate *= hotFactor; !hot {
				hot = true
				record.printf("the tenant sends %.1f turns a second for %v", rate, hotTime)
			}
		}
		turns.Go(func() {
			response := standin.Send(deployment.hosts[number%len(deployment.hosts)].address(), standin.CallerRequest{
				Path: "/dialogue/x", HostName: standin.DeploymentHost, Key: "key-0", Body: input, Program: fmt.Sprintf("h%d", number), Attempt: fmt.Sprintf("h-%d", number),
			})
			if response.Status == 200 && response.Complete {
				answered.Add(1)
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	turns.Wait()
	record.printf("%d turns were answered whole", answered.Load())
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mutex sync.Mutex
	var unanswered []string
	for _, host := range deployment.hosts {
		for number := range keptChannels {
			callers.Go(func() {
				if attempt := deployment.keptCaller(host, fmt.Sprintf("%s-k%d", host.name, number), stop); attempt != "" {
					mutex.Lock()
					unanswered = append(unanswered, attempt)
					mutex.Unlock()
				}
			})
		}
	}
	time.Sleep(time.Until(started.Add(sweepEnd)))
	close(stop)
	callers.Wait()
	lost := 0
	for _, attempt := range unanswered {
		if len(deployment.runsOf(attempt)) > 0 {
			lost++
		}
	}
	for index, host := range deployment.hosts {
		record.printf("%s used up to %d KiB of memory", host.name, peaks[index].Load())
	}
	record.printf("%d requests that targets had begun to run were not answered on kept channels; at most %d may", lost, lostAllowed)
	if answered.Load() == 0 {
		return false, fmt.Errorf("no turn was answered")
	}
	return lost <= lostAllowed, nil
}
