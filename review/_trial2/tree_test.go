package trial

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/platform/standin"
)

const (
	treeGroups    = 10 // of sub-agents, one after the other
	treeWidth     = 5  // sub-agents of a group, in parallel
	treeTurnBytes = 950_000
	treeTries     = 6
	treeToolWork  = 3 * time.Second
	// treeAim is the time objective of the program as a multiple of the time that its turns
	// and tools take on idle targets, as the site has it.
	treeAim = 1.4
)

// treeProgram is a program whose main line starts sub-agents after its first turn.
type treeProgram struct {
	deployment *deployment
	name       string
	aim        time.Time
	input      string
}

// turn sends a turn of the program until it is answered whole.
func (program *treeProgram) turn(host int, input, previous string) (string, error) {
	for try := range treeTries {
		response := program.send(host+try, "/dialogue/x", input, previous)
		if response.Status == 200 && response.Complete {
			return response.Attempt, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", fmt.Errorf("a turn of %s was not served", program.name)
}

func (program *treeProgram) send(host int, path, input, previous string) standin.CallerResponse {
	deployment := program.deployment
	return deployment.send(deployment.hosts[host%len(deployment.hosts)], standin.CallerRequest{
		Path: path, Body: input, Key: "key-0", Program: program.name, Previous: previous, TimeLimit: 6 * time.Second,
		Header: map[string]string{"Godwitspread-Program-Deadline-Ms": strconv.FormatInt(time.Until(program.aim).Milliseconds(), 10)},
	})
}

// startSubAgents runs the sub-agents, whose first turns continue a turn of the main line.
func (program *treeProgram) startSubAgents(main string) error {
	failures := make(chan error, treeGroups*treeWidth)
	for group := range treeGroups {
		var running sync.WaitGroup
		for agent := range treeWidth {
			running.Go(func() {
				if _, err := program.turn(group*treeWidth+agent, program.input, main); err != nil {
					failures <- err
				}
			})
		}
		running.Wait()
	}
	close(failures)
	return <-failures
}

// tree plays a program with many sub-agents that goes on with its main line after the hosts
// were restarted in turn.
func tree(record *record, trouble bool) (held bool, err error) {
	deployment, err := newDeployment(record)
	if err != nil {
		return false, err
	}
	defer deployment.close()
	const events, eventTime = 4, 150 * time.Millisecond
	for number := range 3 {
		zone := fmt.Sprintf("zone-%c", 'a'+number)
		for _, target := range []*standin.Target{
			{ID: fmt.Sprintf("engine-%d", number), Service: "engines", DataCentre: zone, Events: events, Work: eventTime},
			{ID: fmt.Sprintf("tool-%d", number), Service: "old", DataCentre: zone, Work: treeToolWork},
		} {
			if err := deployment.addTarget(target); err != nil {
				return false, err
			}
		}
	}
	configuration := silentConfiguration(1, "old")
	for _, route := range configuration["routes"].([]map[string]any) {
		route["timeoutMs"] = 6000
	}
	if err := deployment.putConfiguration(configuration); err != nil {
		return false, err
	}
	if err := deployment.addHosts(3); err != nil {
		return false, err
	}
	if err := deployment.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	const turnTime, tools = events * eventTime, 5
	idleTime := (2+treeGroups)*turnTime + tools*treeToolWork
	program := &treeProgram{
		deployment: deployment, name: "p1", input: strings.Repeat("x", treeTurnBytes),
		aim: time.Now().Add(time.Duration(treeAim * float64(idleTime))),
	}
	main, err := program.turn(0, "the question", "")
	if err != nil {
		return false, err
	}
	if err := program.startSubAgents(main); err != nil {
		return false, err
	}
	record.printf("%d sub-agents have ended; the program calls its tools", treeGroups*treeWidth)
	restarted := make(chan error, 1)
	go func() {
		if trouble {
			for _, host := range deployment.hosts {
				if err := deployment.restart(host); err != nil {
					restarted <- err
					return
				}
			}
		}
		restarted <- nil
	}()
	for tool := range tools {
		for try := range treeTries {
			if response := program.send(tool+try, "/lookup/x", "", ""); response.Status == 200 {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	if err := <-restarted; err != nil {
		return false, err
	}
	for _, host := range deployment.hosts {
		for !deployment.inTouch(host) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	record.printf("all hosts are in touch; the main line goes on")
	reached, tries := false, 0
	for !reached && tries < treeTries && time.Now().Before(program.aim) {
		response := program.send(tries, "/dialogue/x", "the next turn", main)
		tries++
		reached = len(deployment.runsOf(response.Attempt)) > 0
		time.Sleep(200 * time.Millisecond)
	}
	record.printf("the turn after %s, which was answered whole, was tried %d times, %v before the aim of the program; reached a target: %v", main, tries, time.Until(program.aim).Round(time.Millisecond), reached)
	first := 0
	for host := range deployment.hosts {
		other := *program
		other.name, other.aim = fmt.Sprintf("q%d", host), time.Now().Add(5*time.Second)
		if response := other.send(host, "/dialogue/x", "a first turn", ""); response.Status == 200 {
			first++
		}
	}
	record.printf("%d of %d first turns were served meanwhile", first, len(deployment.hosts))
	if first < len(deployment.hosts) {
		return false, fmt.Errorf("first turns were not served")
	}
	const neededTries = 5
	return reached || tries < neededTries, nil
}
