package bench

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/daemon"
	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/standin"
	"github.com/godwitspread/godwitspread/pkg/client"
)

// demoConfiguration is the configuration text of the demonstration.
const demoConfiguration = `data_centres:
  - {name: bkk-a, hosts: 2}
  - {name: bkk-b, hosts: 1}
services:
  - name: draft
    kind: engine
    repeatable: true
    targets:
      - {data_centre: bkk-a, address: "127.0.1.11:9000"}
      - {data_centre: bkk-a, address: "127.0.1.12:9000"}
      - {data_centre: bkk-b, address: "127.0.2.11:9000"}
  - name: filing
    kind: plain
    cost: 10
    targets:
      - {data_centre: bkk-a, address: "127.0.1.13:9200"}
      - {data_centre: bkk-b, address: "127.0.2.13:9200"}
workspaces:
  - {name: village-council, rate: 50, burst: 100, priority: 2, weight: 2}
  - {name: secretaries, rate: 20, burst: 40}
`

type demoCommand struct {
	console *console
	Output  string        `long:"output" default:"" description:"file for the daemons' logs; empty for a file in the temporary directory"`
	Timeout time.Duration `long:"timeout" default:"55s" description:"timeout of the demonstration"`
}

// demo is the state of one demonstration.
type demo struct {
	console  *console
	fleet    *fleet
	service  *standin.Service
	client   *client.Client
	ctx      context.Context
	failures []string
}

// Execute runs the demonstration and returns an error that lists the failed
// checks.
func (command *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	defer cancel()
	output := command.Output
	if output == "" {
		output = filepath.Join(os.TempDir(), "godwitspread-demo.log")
	}
	fleet, err := newFleet("127.0.0.1:7000", output)
	if err != nil {
		return err
	}
	defer fleet.close()
	demo := &demo{console: command.console, fleet: fleet, service: standin.NewService(400 * time.Millisecond), ctx: ctx}
	if err := demo.setUp(); err != nil {
		return err
	}
	if err := demo.run(); err != nil {
		return err
	}
	if len(demo.failures) > 0 {
		return fmt.Errorf("the demonstration failed:\n  %s", strings.Join(demo.failures, "\n  "))
	}
	demo.printf("everything held")
	return nil
}

func (demo *demo) printf(format string, args ...any) {
	fmt.Fprintf(demo.console.stdout, format+"\n", args...)
}

// expect prints the result of a check and records a failure if the condition is
// false.
func (demo *demo) expect(condition bool, format string, args ...any) {
	status := "ok  "
	if !condition {
		status = "FAIL"
		demo.failures = append(demo.failures, fmt.Sprintf(format, args...))
	}
	demo.printf("  %s %s", status, fmt.Sprintf(format, args...))
}

// setUp starts the stand-ins, publishes the configuration and starts the hosts.
func (demo *demo) setUp() error {
	for _, ip := range []string{"127.0.1.11", "127.0.1.12", "127.0.2.11"} {
		engine := standin.NewEngine(standin.EngineSettings{
			Slots: 8, CacheTokens: 100_000, PrefillPerToken: 50 * time.Microsecond, TokenInterval: 25 * time.Millisecond,
		})
		if err := demo.fleet.startServer(ip+":9000", engine.Handler()); err != nil {
			return err
		}
	}
	for _, ip := range []string{"127.0.1.13", "127.0.2.13"} {
		if err := demo.fleet.startServer(ip+":9200", demo.service); err != nil {
			return err
		}
	}
	secret, err := demo.publishConfiguration()
	if err != nil {
		return err
	}
	var addresses []string
	for _, location := range [][3]string{{"a1", "bkk-a", "127.0.1.1"}, {"a2", "bkk-a", "127.0.1.2"}, {"b1", "bkk-b", "127.0.2.1"}} {
		host, err := demo.fleet.startHost(location[0], location[1], location[2])
		if err != nil {
			return err
		}
		addresses = append(addresses, host.callerURL())
	}
	demo.client = client.New(secret, addresses...)
	demo.printf("three hosts in two data centres, two workspaces, daemon logs in %s", demo.fleet.output.Name())
	return demo.fleet.waitUntilReady(demo.ctx)
}

// publishConfiguration appends the configuration text and one key for each
// workspace to the log. It returns the secret of the village-council key.
func (demo *demo) publishConfiguration() (string, error) {
	secret, councilKey := key.Generate("village-council")
	_, secretariesKey := key.Generate("secretaries")
	records := []configuration.Record{
		{ID: rand.Text(), Change: &configuration.Change{Version: 1, Author: "demo", Text: []byte(demoConfiguration)}},
		{ID: rand.Text(), Give: &configuration.Give{Key: councilKey.ID, Digest: councilKey.Digest, Workspace: councilKey.Workspace}},
		{ID: rand.Text(), Give: &configuration.Give{Key: secretariesKey.ID, Digest: secretariesKey.Digest, Workspace: secretariesKey.Workspace}},
	}
	for _, record := range records {
		data, err := record.Encode()
		if err != nil {
			return "", err
		}
		if _, err := demo.fleet.log.Append(demo.ctx, platform.ConfigurationStream, data); err != nil {
			return "", err
		}
	}
	return secret, nil
}

// run executes a program with two draft calls, a sub-agent, a pause for tools, a
// filing call during which the owner is killed, and a last draft call.
func (demo *demo) run() error {
	started := time.Now()
	id, err := demo.client.Open(demo.ctx, client.OpenOptions{Budget: 20_000})
	if err != nil {
		return fmt.Errorf("open program: %w", err)
	}
	demo.printf("program %s is open", id)
	for _, item := range []string{"minutes of the last meeting", "repair of the water pump"} {
		if err := demo.draft(id, item); err != nil {
			return err
		}
	}
	child, err := demo.client.Open(demo.ctx, client.OpenOptions{Parent: id})
	if err != nil {
		return fmt.Errorf("open sub-agent: %w", err)
	}
	if err := demo.draft(child, "check the pump's earlier repairs"); err != nil {
		return err
	}
	demo.printf("sub-agent %s has answered, the tools take a while", child)
	time.Sleep(300 * time.Millisecond)
	if err := demo.killOwnerDuringCall(id); err != nil {
		return err
	}
	if err := demo.draft(id, "closing words"); err != nil {
		return err
	}
	return demo.verify(id, child, started)
}

func (demo *demo) draft(id, input string) error {
	chunks := 0
	response, err := demo.client.Do(demo.ctx, id, client.Call{
		ID: "draft-" + rand.Text()[:8], Service: "draft", Input: input, Timeout: 20 * time.Second,
		Each: func(string) { chunks++ },
	})
	if err != nil {
		return fmt.Errorf("draft %q: %w", input, err)
	}
	demo.printf("turn %d: %q, %d tokens in %d pieces", response.Turn, input, response.Tokens, chunks)
	return nil
}

// killOwnerDuringCall sends a non-idempotent call, kills the owner of the program
// while the call runs, and then sends the same call again.
func (demo *demo) killOwnerDuringCall(id string) error {
	owner, err := demo.ownerProcess(id)
	if err != nil {
		return err
	}
	type result struct {
		response client.Answer
		err      error
	}
	done := make(chan result, 1)
	call := client.Call{ID: "filing-1", Service: "filing", Input: `{"resolution":7}`, Timeout: 20 * time.Second}
	go func() {
		response, err := demo.client.Do(demo.ctx, id, call)
		done <- result{response, err}
	}()
	for len(demo.service.Runs()) == 0 {
		select {
		case <-demo.ctx.Done():
			return fmt.Errorf("filing call did not reach its service: %w", demo.ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
	demo.printf("the filing runs; killing its owner %s", owner.name)
	if err := demo.fleet.kill(owner); err != nil {
		return err
	}
	first := <-done
	demo.printf("the caller was told: %s", describeOutcome(first.response, first.err))
	repeated, err := demo.client.Do(demo.ctx, id, call)
	demo.printf("the same call sent again: %s", describeOutcome(repeated, err))
	return nil
}

func describeOutcome(response client.Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s at turn %d, replayed %t", response.Result, response.Turn, response.Replayed)
}

// queryOwner returns the name of a program's owner according to a daemon.
func queryOwner(ctx context.Context, operatorAddress, id string) (string, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress+"/programs/"+id, nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var status daemon.ProgramStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return "", err
	}
	return status.Owner, nil
}

// ownerProcess returns the host that owns a program according to the first host that
// responds.
func (demo *demo) ownerProcess(id string) (*hostProcess, error) {
	for _, host := range demo.fleet.hosts {
		name, err := queryOwner(demo.ctx, host.operatorAddress(), id)
		if err != nil {
			continue
		}
		for _, other := range demo.fleet.hosts {
			if other.name == name {
				return other, nil
			}
		}
	}
	return nil, fmt.Errorf("no running host returned the owner of program %s", id)
}

// verify compares the history of the program with the calls that were sent and
// the responses that were received.
func (demo *demo) verify(id, child string, started time.Time) error {
	turns, err := demo.client.History(demo.ctx, id)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	demo.printf("history of %s:", id)
	var prompt strings.Builder
	for index, turn := range turns {
		demo.printf("  %d %-8s %-8s %s", turn.Turn, turn.Service, turn.Result, turn.Input)
		prompt.WriteString(turn.Input + "\n")
		if turn.Service == "draft" {
			demo.expect(turn.Output == standin.Completion(prompt.String(), 1024), "turn %d answers exactly the history before it", turn.Turn)
		}
		prompt.WriteString(turn.Output + "\n")
		demo.expect(turn.Turn == index+1, "turn %d stands in its place", turn.Turn)
	}
	demo.expect(len(turns) == 4, "the program has its 4 turns, found %d", len(turns))
	runs := demo.service.Runs()
	demo.expect(len(runs) == 1 && runs[id+"/filing-1"] == 1, "the filing ran once: %v", runs)
	state, err := demo.client.Program(demo.ctx, id)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	demo.expect(state.Spent+state.Forfeited <= state.Budget, "spent %d and forfeited %d of the budget of %d", state.Spent, state.Forfeited, state.Budget)
	childTurns, err := demo.client.History(demo.ctx, child)
	if err != nil {
		return fmt.Errorf("history of the sub-agent: %w", err)
	}
	demo.expect(len(childTurns) == 1, "the sub-agent has its own history")
	if err := demo.client.End(demo.ctx, id); err != nil {
		return fmt.Errorf("end: %w", err)
	}
	demo.printf("all of it took %s", time.Since(started).Round(100*time.Millisecond))
	return nil
}
