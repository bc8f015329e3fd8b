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

// demoText is the configuration of the demonstration.
const demoText = `data_centres:
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
	tool    *tool
	Output  string        `long:"output" default:"" description:"file for the daemons' logs"`
	Timeout time.Duration `long:"timeout" default:"55s" description:"bound of the demonstration"`
}

// demo is the state of one demonstration.
type demo struct {
	tool    *tool
	fleet   *fleet
	service *standin.Service
	council *client.Client
	ctx     context.Context
	faults  []string
}

// Execute implements flags.Commander.
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
	demo := &demo{tool: command.tool, fleet: fleet, service: standin.NewService(400 * time.Millisecond), ctx: ctx}
	if err := demo.prepare(); err != nil {
		return err
	}
	if err := demo.play(); err != nil {
		return err
	}
	if len(demo.faults) > 0 {
		return fmt.Errorf("the demonstration failed:\n  %s", strings.Join(demo.faults, "\n  "))
	}
	demo.say("everything held")
	return nil
}

func (demo *demo) say(format string, args ...any) {
	fmt.Fprintf(demo.tool.stdout, format+"\n", args...)
}

// expect notes a fault unless the condition holds.
func (demo *demo) expect(holds bool, format string, args ...any) {
	mark := "ok  "
	if !holds {
		mark = "FAIL"
		demo.faults = append(demo.faults, fmt.Sprintf(format, args...))
	}
	demo.say("  %s %s", mark, fmt.Sprintf(format, args...))
}

// prepare starts the stand-ins and hosts and publishes the configuration.
func (demo *demo) prepare() error {
	for _, ip := range []string{"127.0.1.11", "127.0.1.12", "127.0.2.11"} {
		engine := standin.NewEngine(standin.EngineSettings{
			Slots: 8, CacheTokens: 100_000, PrefillToken: 50 * time.Microsecond, Step: 25 * time.Millisecond,
		})
		if err := demo.fleet.serve(ip+":9000", engine.Handler()); err != nil {
			return err
		}
	}
	for _, ip := range []string{"127.0.1.13", "127.0.2.13"} {
		if err := demo.fleet.serve(ip+":9200", demo.service); err != nil {
			return err
		}
	}
	council, err := demo.publish()
	if err != nil {
		return err
	}
	var addresses []string
	for _, place := range [][3]string{{"a1", "bkk-a", "127.0.1.1"}, {"a2", "bkk-a", "127.0.1.2"}, {"b1", "bkk-b", "127.0.2.1"}} {
		host, err := demo.fleet.add(place[0], place[1], place[2])
		if err != nil {
			return err
		}
		addresses = append(addresses, host.callers())
	}
	demo.council = client.New(council, addresses...)
	demo.say("three hosts in two data centres, two workspaces, daemon logs in %s", demo.fleet.output.Name())
	return demo.fleet.ready(demo.ctx)
}

// publish puts the text and a key of each workspace into the log and returns
// the secret of the first.
func (demo *demo) publish() (string, error) {
	secret, council := key.Generate("village-council")
	_, secretaries := key.Generate("secretaries")
	records := []configuration.Record{
		{ID: rand.Text(), Change: &configuration.Change{Version: 1, Author: "demo", Text: []byte(demoText)}},
		{ID: rand.Text(), Give: &configuration.Give{Key: council.ID, Digest: council.Digest, Workspace: council.Workspace}},
		{ID: rand.Text(), Give: &configuration.Give{Key: secretaries.ID, Digest: secretaries.Digest, Workspace: secretaries.Workspace}},
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

// play runs a short meeting: two drafts, a sub-agent, a tool pause, a filing
// during which the owner is killed, and a last draft.
func (demo *demo) play() error {
	started := time.Now()
	id, err := demo.council.Open(demo.ctx, client.OpenOptions{Budget: 20_000})
	if err != nil {
		return fmt.Errorf("open program: %w", err)
	}
	demo.say("program %s is open", id)
	for _, item := range []string{"minutes of the last meeting", "repair of the water pump"} {
		if err := demo.draft(id, item); err != nil {
			return err
		}
	}
	child, err := demo.council.Open(demo.ctx, client.OpenOptions{Parent: id})
	if err != nil {
		return fmt.Errorf("open sub-agent: %w", err)
	}
	if err := demo.draft(child, "check the pump's earlier repairs"); err != nil {
		return err
	}
	demo.say("sub-agent %s has answered, the tools take a while", child)
	time.Sleep(300 * time.Millisecond)
	if err := demo.fileWhileKilling(id); err != nil {
		return err
	}
	if err := demo.draft(id, "closing words"); err != nil {
		return err
	}
	return demo.check(id, child, started)
}

func (demo *demo) draft(id, input string) error {
	pieces := 0
	answer, err := demo.council.Do(demo.ctx, id, client.Call{
		ID: "draft-" + rand.Text()[:8], Service: "draft", Input: input, Timeout: 20 * time.Second,
		Each: func(string) { pieces++ },
	})
	if err != nil {
		return fmt.Errorf("draft %q: %w", input, err)
	}
	demo.say("turn %d: %q, %d tokens in %d pieces", answer.Turn, input, answer.Tokens, pieces)
	return nil
}

// fileWhileKilling sends a non-idempotent call and kills the owner of the
// program while the call runs, then sends the same call again.
func (demo *demo) fileWhileKilling(id string) error {
	owner, err := demo.ownerOf(id)
	if err != nil {
		return err
	}
	type result struct {
		answer client.Answer
		err    error
	}
	done := make(chan result, 1)
	call := client.Call{ID: "filing-1", Service: "filing", Input: `{"resolution":7}`, Timeout: 20 * time.Second}
	go func() {
		answer, err := demo.council.Do(demo.ctx, id, call)
		done <- result{answer, err}
	}()
	for len(demo.service.Runs()) == 0 {
		select {
		case <-demo.ctx.Done():
			return fmt.Errorf("the filing never reached its service: %w", demo.ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
	demo.say("the filing runs; killing its owner %s", owner.name)
	if err := demo.fleet.kill(owner); err != nil {
		return err
	}
	first := <-done
	demo.say("the caller was told: %s", outcome(first.answer, first.err))
	again, err := demo.council.Do(demo.ctx, id, call)
	demo.say("the same call sent again: %s", outcome(again, err))
	return nil
}

func outcome(answer client.Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s at turn %d, replayed %t", answer.Result, answer.Turn, answer.Replayed)
}

// ownerName asks a daemon for the owner of a program.
func ownerName(ctx context.Context, operators, id string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+"/programs/"+id, nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
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

// ownerOf finds the host that owns a program.
func (demo *demo) ownerOf(id string) (*hostProcess, error) {
	for _, host := range demo.fleet.hosts {
		name, err := ownerName(demo.ctx, host.operators(), id)
		if err != nil {
			continue
		}
		for _, other := range demo.fleet.hosts {
			if other.name == name {
				return other, nil
			}
		}
	}
	return nil, fmt.Errorf("no host knows the owner of program %s", id)
}

// check compares the history with what was sent and answered.
func (demo *demo) check(id, child string, started time.Time) error {
	turns, err := demo.council.History(demo.ctx, id)
	if err != nil {
		return fmt.Errorf("history: %w", err)
	}
	demo.say("history of %s:", id)
	var prompt strings.Builder
	for index, turn := range turns {
		demo.say("  %d %-8s %-8s %s", turn.Turn, turn.Service, turn.Result, turn.Input)
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
	state, err := demo.council.Program(demo.ctx, id)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	demo.expect(state.Spent+state.Forfeited <= state.Budget, "spent %d and forfeited %d of the budget of %d", state.Spent, state.Forfeited, state.Budget)
	childTurns, err := demo.council.History(demo.ctx, child)
	if err != nil {
		return fmt.Errorf("history of the sub-agent: %w", err)
	}
	demo.expect(len(childTurns) == 1, "the sub-agent has its own history")
	if err := demo.council.End(demo.ctx, id); err != nil {
		return fmt.Errorf("end: %w", err)
	}
	demo.say("all of it took %s", time.Since(started).Round(100*time.Millisecond))
	return nil
}
