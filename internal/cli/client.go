package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// clientOptions are the flags that all commands of the operators' client share.
type clientOptions struct {
	Platform string        `long:"platform" env:"GODWITSPREAD_PLATFORM" description:"URL of the platform's log"`
	Daemons  []string      `long:"daemon" env:"GODWITSPREAD_DAEMONS" env-delim:"," description:"operators' address of a daemon; may be repeated"`
	Output   string        `short:"o" long:"output" default:"text" choice:"text" choice:"json" description:"output format of listings"`
	Timeout  time.Duration `long:"timeout" env:"GODWITSPREAD_TIMEOUT" default:"20s" description:"timeout of the whole command"`
	Author   string        `long:"author" env:"GODWITSPREAD_AUTHOR" default:"operator" description:"name that is recorded as the author of a change"`
	Version  func()        `long:"version" description:"print the version and exit"`
}

// client is one invocation of the operators' client.
type client struct {
	options  clientOptions
	stdout   io.Writer
	stderr   io.Writer
	exitCode int
}

// RunClient runs the operators' client and returns its exit code.
func RunClient(arguments []string, stdout, stderr io.Writer) int {
	client := &client{stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("godwitspread", flags.HelpFlag|flags.PassDoubleDash)
	version := false
	client.options.Version = func() { version = true }
	if err := client.registerCommands(parser); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	parser.CommandHandler = func(command flags.Commander, remaining []string) error {
		if version || command == nil {
			return nil
		}
		return command.Execute(remaining)
	}
	_, err := parser.ParseArgs(arguments)
	if version {
		fmt.Fprintln(stdout, "godwitspread", Version)
		return ExitOK
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		return reportUsage(err, stdout, stderr)
	}
	if err != nil {
		fmt.Fprintln(stderr, "godwitspread:", err)
		if client.exitCode == 0 {
			client.exitCode = ExitFailed
		}
	}
	return client.exitCode
}

// registerCommands adds the global flags and all commands to the parser.
func (client *client) registerCommands(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Settings", "", &client.options); err != nil {
		return err
	}
	type entry struct {
		name    string
		summary string
		command any
	}
	groups := []struct {
		name    string
		summary string
		entries []entry
	}{
		{"config", "Validate, publish and show the configuration", []entry{
			{"check", "Validate a configuration file without publishing it", &configCheckCommand{client: client}},
			{"publish", "Publish a configuration file", &configPublishCommand{client: client}},
			{"show", "Print the configuration in force", &configShowCommand{client: client}},
			{"history", "List the published configuration changes", &configHistoryCommand{client: client}},
			{"diff", "Compare a configuration file with the configuration in force", &configDiffCommand{client: client}},
		}},
		{"key", "Give and withdraw the keys of callers", []entry{
			{"give", "Create a key for a workspace and print its secret, which is not shown again", &keyGiveCommand{client: client}},
			{"withdraw", "Withdraw a key permanently", &keyWithdrawCommand{client: client}},
			{"list", "List the valid keys", &keyListCommand{client: client}},
		}},
		{"program", "Inspect programs", []entry{
			{"show", "Show the state of a program", &programShowCommand{client: client}},
		}},
	}
	for _, group := range groups {
		parent, err := parser.AddCommand(group.name, group.summary, "", &struct{}{})
		if err != nil {
			return err
		}
		for _, entry := range group.entries {
			if _, err := parent.AddCommand(entry.name, entry.summary, "", entry.command); err != nil {
				return err
			}
		}
	}
	topLevel := []entry{
		{"status", "Show hosts, targets, slots and the age of their data", &statusCommand{client: client}},
		{"hosts", "Show the entry hosts on the users' platform, with configuration versions and unreachable hosts", &hostsCommand{client: client}},
		{"request", "Find the log lines of an attempt or a program, and host events shortly before them", &requestCommand{client: client}},
		{"explain", "Show where a request would go now, and why, without sending it", &explainCommand{client: client}},
		{"completion", "Print the completion script for a shell", &completionCommand{client: client}},
	}
	for _, entry := range topLevel {
		if _, err := parser.AddCommand(entry.name, entry.summary, "", entry.command); err != nil {
			return err
		}
	}
	return nil
}

// context returns a context with the timeout of the command.
func (client *client) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), client.options.Timeout)
}

// log returns a client of the platform's log.
func (client *client) log() (*platform.Client, error) {
	if client.options.Platform == "" {
		return nil, errors.New("--platform is missing, expected the URL of the platform's log")
	}
	return platform.NewClient(strings.TrimSuffix(client.options.Platform, "/"), platformTimeout), nil
}

const platformTimeout = 5 * time.Second // for one request to the platform

// history is the content of the configuration stream: the state that results from
// all records, the published changes, and the first verdict on each record by ID.
type history struct {
	state    *configuration.State
	changes  []changeEntry
	verdicts map[string]configuration.Verdict
}

// changeEntry is one published change in the output of config history.
type changeEntry struct {
	Offset   int64                 `json:"offset"`
	Version  uint64                `json:"version"`
	Base     uint64                `json:"base"`
	Author   string                `json:"author"`
	Verdict  configuration.Verdict `json:"verdict"`
	recordID string
}

// replay reads the configuration stream from its start to its end.
func (client *client) replay(ctx context.Context, log platform.Log) (*history, error) {
	history := &history{state: configuration.NewState(), verdicts: make(map[string]configuration.Verdict)}
	nextOffset := int64(0)
	for {
		page, err := log.Read(ctx, platform.ConfigurationStream, nextOffset, 0, 0)
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Entries {
			history.apply(entry)
			nextOffset = entry.Offset + 1
		}
		if nextOffset >= page.End || len(page.Entries) == 0 {
			return history, nil
		}
	}
}

// apply applies one entry of the stream to the state. The first verdict on a record counts,
// because a repeated append of the record gets another verdict.
func (history *history) apply(entry platform.Entry) {
	record, err := configuration.Decode(entry.Data)
	if err != nil {
		history.state.Advance(entry.Offset)
		return
	}
	verdict := history.state.Apply(entry.Offset, record)
	if _, seen := history.verdicts[record.ID]; !seen {
		history.verdicts[record.ID] = verdict
	}
	if record.Change != nil && !record.Change.Refresh {
		history.changes = append(history.changes, changeEntry{
			Offset: entry.Offset, Version: record.Change.Version, Base: record.Change.Base,
			Author: record.Change.Author, Verdict: verdict, recordID: record.ID,
		})
	}
}

// withLog replays the configuration stream and runs a command that may publish to
// it.
func (client *client) withLog(run func(ctx context.Context, log platform.Log, history *history) error) error {
	log, err := client.log()
	if err != nil {
		return err
	}
	ctx, cancel := client.context()
	defer cancel()
	history, err := client.replay(ctx, log)
	if err != nil {
		return err
	}
	return run(ctx, log, history)
}

// publish appends a record, reads the stream back and returns the verdict on the
// record. It repeats the append with the same record ID until the stream contains
// the record, because a failed append may or may not have taken effect.
func (client *client) publish(ctx context.Context, log platform.Log, record configuration.Record) (*history, configuration.Verdict, error) {
	data, err := record.Encode()
	if err != nil {
		return nil, "", err
	}
	var lastErr error
	for ctx.Err() == nil {
		if _, err := log.Append(ctx, platform.ConfigurationStream, data); err != nil {
			lastErr = err
		}
		history, err := client.replay(ctx, log)
		if err != nil {
			lastErr = err
		} else if verdict, ok := history.verdicts[record.ID]; ok {
			return history, verdict, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(publishRetryDelay):
		}
	}
	return nil, "", fmt.Errorf("the log did not confirm the record, it may still take effect: %w", errors.Join(lastErr, ctx.Err()))
}

const publishRetryDelay = 200 * time.Millisecond

// print writes a listing as a table or as JSON.
func (client *client) print(value any, header []string, rows [][]string) error {
	if client.options.Output == "json" {
		encoder := json.NewEncoder(client.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(client.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// fetch decodes a JSON document that a daemon serves for operators.
func (client *client) fetch(ctx context.Context, daemon, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(response.Body, 1<<12))
		return errors.Join(fmt.Errorf("daemon %s answered %s: %s", daemon, response.Status, body), err)
	}
	return json.NewDecoder(response.Body).Decode(result)
}
