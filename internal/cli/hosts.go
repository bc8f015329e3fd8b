package cli

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/godwitspread/godwitspread/internal/gateway"
)

type hostsCommand struct{ client *client }

// hostResult is the status of one entry host on the users' platform, or the error
// that occurred on fetching it.
type hostResult struct {
	Daemon string          `json:"daemon"`
	Error  string          `json:"error,omitempty"`
	Status *gateway.Status `json:"status,omitempty"`
}

// Execute implements flags.Commander.
func (command *hostsCommand) Execute([]string) error {
	client := command.client
	if len(client.options.Daemons) == 0 {
		return errors.New("--daemon is missing, expected the operators' address of at least one host")
	}
	ctx, cancel := client.context()
	defer cancel()
	var results []hostResult
	var rows [][]string
	for _, address := range client.options.Daemons {
		var status gateway.Status
		if err := client.fetch(ctx, address, "/status", &status); err != nil {
			client.exitCode = ExitFailed
			results = append(results, hostResult{Daemon: address, Error: err.Error()})
			rows = append(rows, []string{address, "-", "no answer", "-", "-", "-", "-", "-", "-", "-", err.Error(), "-"})
			continue
		}
		results = append(results, hostResult{Daemon: address, Status: &status})
		rows = append(rows, hostRow(address, status))
	}
	return client.print(results, []string{"DAEMON", "HOST", "STATE", "VERSION", "CONFIG AGE", "STORE", "REQUESTS", "TARGETS", "PEERS", "BUILD", "LOST", "EVACUATED"}, rows)
}

// peers returns the number of reachable hosts, and of those that speak the membership
// protocol of the build before.
func peers(status gateway.Status) string {
	old := 0
	for _, peer := range status.Peers {
		if peer.Protocol < status.Protocol {
			old++
		}
	}
	if old == 0 {
		return strconv.Itoa(len(status.Peers))
	}
	return fmt.Sprintf("%d (%d old)", len(status.Peers), old)
}

// hostState returns the state of a host in one word or two.
func hostState(status gateway.Status) string {
	switch {
	case status.Stopping:
		return "stopping"
	case !status.Ready:
		return "not ready"
	}
	return "ready"
}

func hostRow(address string, status gateway.Status) []string {
	store := "reached"
	if !status.StoreReached {
		store = "lost"
	} else if status.StoreLastFailed != "" {
		store = "failed " + status.StoreLastFailed
	}
	unreachable := "nothing"
	if len(status.Unreachable) > 0 {
		unreachable = strings.Join(status.Unreachable, ", ")
	}
	configurationAge := "never read"
	if status.ConfigurationAge != "" {
		configurationAge = status.ConfigurationAge
	}
	return []string{
		address, status.DataCentre + "/" + status.Host, hostState(status), strconv.FormatInt(status.Version, 10), configurationAge, store,
		strconv.FormatInt(status.RequestsInFlight, 10), strconv.Itoa(status.Targets), peers(status), cmp.Or(status.Build, "unknown") + "/" + strconv.Itoa(status.Protocol), unreachable, formatEvacuations(status.Evacuations),
	}
}

// formatEvacuations lists the evacuated data centres, since when they are evacuated and
// from where the host knows it.
func formatEvacuations(evacuations []gateway.EvacuationStatus) string {
	if len(evacuations) == 0 {
		return "none"
	}
	var texts []string
	for _, evacuation := range evacuations {
		text := fmt.Sprintf("%s since %s (%s)", evacuation.DataCentre, evacuation.Age, evacuation.Source)
		if evacuation.Unknown {
			text += " unknown"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}
