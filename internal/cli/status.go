package cli

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/godwitspread/godwitspread/internal/daemon"
)

type statusCommand struct{ client *client }

// statusLine is the answer of one daemon.
type statusLine struct {
	Daemon string         `json:"daemon"`
	Error  string         `json:"error,omitempty"`
	Status *daemon.Status `json:"status,omitempty"`
}

// Execute implements flags.Commander.
func (command *statusCommand) Execute([]string) error {
	client := command.client
	if len(client.options.Daemons) == 0 {
		return errors.New("--daemon is missing, expected the operators' address of at least one daemon")
	}
	ctx, cancel := client.context()
	defer cancel()
	var lines []statusLine
	var rows [][]string
	for _, address := range client.options.Daemons {
		var status daemon.Status
		if err := client.fetch(ctx, address, "/status", &status); err != nil {
			client.code = ExitFailed
			lines = append(lines, statusLine{Daemon: address, Error: err.Error()})
			rows = append(rows, []string{address, "-", "no answer", "-", "-", "-", "-", "-", "-"})
			continue
		}
		lines = append(lines, statusLine{Daemon: address, Status: &status})
		rows = append(rows, statusRow(address, status))
	}
	return client.print(lines, []string{"DAEMON", "HOST", "STATE", "VERSION", "CONFIG AGE", "LEDGER AGE", "SLOTS", "HOSTS", "TARGETS"}, rows)
}

func statusRow(address string, status daemon.Status) []string {
	state := "ready"
	if !status.Ready {
		state = strings.Join(status.Reasons, "; ")
	}
	states := make(map[string]int)
	for _, host := range status.Hosts {
		states[host.State]++
	}
	targets := make(map[string]int)
	for _, target := range status.Targets {
		targets[target.State]++
	}
	return []string{
		address, status.DataCentre + "/" + status.Host, state, strconv.FormatUint(status.Configuration.Version, 10),
		age(status.Configuration.AgeMillis), age(status.Ledger.AgeMillis), strconv.Itoa(len(status.Slots)),
		counts(states, "live", "listed", "leaving", "silent"), counts(targets, "ready", "leaving", "tripped"),
	}
}

func age(millis int64) string {
	if millis < 0 {
		return "never read"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}

func counts(numbers map[string]int, order ...string) string {
	var parts []string
	for _, name := range order {
		if numbers[name] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", numbers[name], name))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

type programCommand struct {
	client *client
	Args   struct {
		Program string `positional-arg-name:"program" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *programCommand) Execute([]string) error {
	client := command.client
	if len(client.options.Daemons) == 0 {
		return errors.New("--daemon is missing, expected the operators' address of a daemon")
	}
	ctx, cancel := client.context()
	defer cancel()
	var last error
	for _, address := range client.options.Daemons {
		var status daemon.ProgramStatus
		if last = client.fetch(ctx, address, "/programs/"+command.Args.Program, &status); last != nil {
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
	return last
}
