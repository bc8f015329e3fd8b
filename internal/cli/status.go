package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/godwitspread/godwitspread/internal/daemon"
	"github.com/godwitspread/godwitspread/internal/gateway"
)

type statusCommand struct{ client *client }

// statusResult is the status of one daemon, or of one entry host on the users' platform,
// or the error that occurred on fetching it.
type statusResult struct {
	Daemon string          `json:"daemon"`
	Error  string          `json:"error,omitempty"`
	Status *daemon.Status  `json:"status,omitempty"`
	Entry  *gateway.Status `json:"entry_host,omitempty"`
}

// Execute implements flags.Commander.
func (command *statusCommand) Execute([]string) error {
	client := command.client
	if len(client.options.Daemons) == 0 {
		return errors.New("--daemon is missing, expected the operators' address of at least one daemon")
	}
	ctx, cancel := client.context()
	defer cancel()
	var results []statusResult
	var rows [][]string
	for _, address := range client.options.Daemons {
		result, row, err := client.fetchStatus(ctx, address)
		if err != nil {
			client.exitCode = ExitFailed
			results = append(results, statusResult{Daemon: address, Error: err.Error()})
			rows = append(rows, []string{address, "-", "no answer", "-", "-", "-", "-", "-", "-", "-"})
			continue
		}
		results = append(results, result)
		rows = append(rows, row)
	}
	return client.print(results, []string{"DAEMON", "HOST", "STATE", "VERSION", "CONFIG AGE", "LEDGER AGE", "SLOTS", "HOSTS", "TARGETS", "EVACUATED"}, rows)
}

// fetchStatus returns the status of a daemon or of an entry host, and its row. Only an
// entry host gives the version of its configuration as a number.
func (client *client) fetchStatus(ctx context.Context, address string) (statusResult, []string, error) {
	var content json.RawMessage
	if err := client.fetch(ctx, address, "/status", &content); err != nil {
		return statusResult{}, nil, err
	}
	var kind struct {
		Version *int64 `json:"configuration_version"`
	}
	if err := json.Unmarshal(content, &kind); err != nil {
		return statusResult{}, nil, err
	}
	if kind.Version != nil {
		var status gateway.Status
		err := json.Unmarshal(content, &status)
		return statusResult{Daemon: address, Entry: &status}, entryHostRow(address, status), err
	}
	var status daemon.Status
	err := json.Unmarshal(content, &status)
	return statusResult{Daemon: address, Status: &status}, statusRow(address, status), err
}

// entryHostRow is the row of an entry host, which has neither a ledger nor slots.
func entryHostRow(address string, status gateway.Status) []string {
	return []string{
		address, status.DataCentre + "/" + status.Host, hostState(status), strconv.FormatInt(status.Version, 10), cmp.Or(status.ConfigurationAge, "never read"),
		"-", "-", peers(status), strconv.Itoa(status.Targets), formatEvacuations(status.Evacuations),
	}
}

func statusRow(address string, status daemon.Status) []string {
	state := "ready"
	if !status.Ready {
		state = strings.Join(status.Reasons, "; ")
	}
	hostStates := make(map[string]int)
	for _, host := range status.Hosts {
		hostStates[host.State]++
	}
	targetStates := make(map[string]int)
	for _, target := range status.Targets {
		targetStates[target.State]++
	}
	return []string{
		address, status.DataCentre + "/" + status.Host, state, strconv.FormatUint(status.Configuration.Version, 10),
		formatAge(status.Configuration.AgeMillis), formatAge(status.Ledger.AgeMillis), strconv.Itoa(len(status.Slots)),
		formatCounts(hostStates, "live", "listed", "leaving", "silent"), formatCounts(targetStates, "ready", "leaving", "tripped"), "-",
	}
}

// formatAge formats an age in milliseconds. A negative age means that the data was
// never read.
func formatAge(millis int64) string {
	if millis < 0 {
		return "never read"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}

// formatCounts lists the counts above zero in the given order of names.
func formatCounts(counts map[string]int, order ...string) string {
	var pairs []string
	for _, name := range order {
		if counts[name] > 0 {
			pairs = append(pairs, fmt.Sprintf("%d %s", counts[name], name))
		}
	}
	if len(pairs) == 0 {
		return "none"
	}
	return strings.Join(pairs, ", ")
}

type programShowCommand struct {
	client *client
	Args   struct {
		Program string `positional-arg-name:"program" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *programShowCommand) Execute([]string) error {
	client := command.client
	if len(client.options.Daemons) == 0 {
		return errors.New("--daemon is missing, expected the operators' address of a daemon")
	}
	ctx, cancel := client.context()
	defer cancel()
	var lastErr error
	for _, address := range client.options.Daemons {
		var status daemon.ProgramStatus
		if lastErr = client.fetch(ctx, address, "/programs/"+command.Args.Program, &status); lastErr != nil {
			continue
		}
		state := "open"
		if status.Ended != "" {
			state = "ended: " + status.Ended
		}
		return client.print(status, []string{"PROGRAM", "WORKSPACE", "OWNER", "EPOCH", "TURNS", "SPENT", "BUDGET", "STATE"}, [][]string{{
			status.Program, status.Workspace, status.Owner, strconv.FormatUint(status.Epoch, 10), strconv.Itoa(status.Turns),
			strconv.FormatInt(status.Spent+status.Forfeited, 10), strconv.FormatInt(status.Budget, 10), state,
		}})
	}
	return lastErr
}
