package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwitspread/godwitspread/platform/standin"
)

const (
	dialogues     = 4
	dialogueTurns = 12 // before the calm phase
	uploaders     = 60 // callers that send a large document at a time to each host
	uploadBytes   = 4 << 20
	smallBytes    = 60 << 10
)

// segments plays dialogues whose turns are kept, during a burst of callers that send large
// documents, and continues them once the hosts are idle again.
func segments(record *record, trouble bool) (held bool, err error) {
	deployment, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer deployment.close()
	deployment.memory = 112
	for number := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+number)
		for _, target := range []*standin.Target{
			{ID: fmt.Sprintf("engine-%d", number), Service: "engines", DataCentre: zone, Events: 4, Work: 15 * time.Millisecond},
			{ID: fmt.Sprintf("old-%d", number), Service: "old", DataCentre: zone, Work: 200 * time.Millisecond},
			{ID: fmt.Sprintf("new-%d", number), Service: "new", DataCentre: zone, Work: 5 * time.Millisecond},
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
	if err := deployment.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var burst sync.WaitGroup
	var stop atomic.Bool
	var uploads, uploaded atomic.Int64
	if trouble {
		record.printf("burst of callers with documents of %d bytes begins", uploadBytes)
		sizes := []int{uploadBytes, smallBytes, uploadBytes / 2, smallBytes, uploadBytes / 4, smallBytes, smallBytes, smallBytes, uploadBytes / 16, smallBytes, smallBytes, smallBytes}
		document := strings.Repeat("x", uploadBytes)
		for number := range uploaders * len(deployment.hosts) {
			burst.Go(func() {
				for serial := 0; !stop.Load(); serial++ {
					response := standin.Send(deployment.hosts[number%len(deployment.hosts)].address(), standin.CallerRequest{
						Path: "/lookup/x", HostName: standin.DeploymentHost, Key: "key-0", Body: document[:sizes[serial*7%len(sizes)]], Attempt: fmt.Sprintf("u-%d-%d", number, serial),
					})
					uploads.Add(1)
					if response.Status == 200 {
						uploaded.Add(1)
					} else {
						time.Sleep(300 * time.Millisecond)
					}
				}
			})
		}
		time.Sleep(time.Second)
	}
	last := make([]string, dialogues)
	lengths := make([]int, dialogues)
	var running sync.WaitGroup
	for number := range dialogues {
		running.Go(func() {
			for turn := range dialogueTurns {
				for try := range 8 {
					response := deployment.send(deployment.hosts[(number+turn+try)%len(deployment.hosts)], standin.CallerRequest{
						Path: "/dialogue/x", Body: fmt.Sprintf("turn %d of dialogue %d;", turn, number), Key: fmt.Sprintf("key-%d", number%tenants),
						Program: fmt.Sprintf("d%d", number), Previous: last[number],
					})
					if response.Status == 200 && response.Complete {
						last[number], lengths[number] = response.Attempt, turn+1
						break
					}
					time.Sleep(250 * time.Millisecond)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	running.Wait()
	stop.Store(true)
	burst.Wait()
	record.printf("burst has ended: %d documents sent, %d answered with 200; turns kept of each dialogue: %v", uploads.Load(), uploaded.Load(), lengths)
	time.Sleep(stabilityMillis*time.Millisecond + time.Second)
	lost, first := 0, 0
	for number := range dialogues {
		reached := false
		for try := range 6 {
			response := deployment.send(deployment.hosts[(number+try)%len(deployment.hosts)], standin.CallerRequest{
				Path: "/dialogue/x", Body: "last turn", Key: fmt.Sprintf("key-%d", number%tenants), Program: fmt.Sprintf("d%d", number), Previous: last[number],
			})
			if reached = len(deployment.runsOf(response.Attempt)) > 0; reached {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if !reached {
			lost++
			record.printf("dialogue %d: the turn after %s, which was answered whole, reached no target in 6 tries", number, last[number])
		}
		response := deployment.send(deployment.hosts[number%len(deployment.hosts)], standin.CallerRequest{Path: "/dialogue/x", Body: "a first turn", Key: "key-1", Program: fmt.Sprintf("f%d", number)})
		if response.Status == 200 {
			first++
		}
	}
	record.printf("%d of %d dialogues cannot go on; %d of %d first turns were served meanwhile", lost, dialogues, first, dialogues)
	if first < dialogues {
		return false, fmt.Errorf("first turns were not served")
	}
	return lost == 0, nil
}
