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

// clientOptions are the settings of the operators' client.
type clientOptions struct {
	Platform string        `long:"platform" env:"GODWITSPREAD_PLATFORM" description:"URL of the platform's log"`
	Daemons  []string      `long:"daemon" env:"GODWITSPREAD_DAEMONS" env-delim:"," description:"operators' address of a daemon, may be repeated"`
	Output   string        `short:"o" long:"output" default:"text" choice:"text" choice:"json" description:"form of listings"`
	Timeout  time.Duration `long:"timeout" env:"GODWITSPREAD_TIMEOUT" default:"20s" description:"bound of the whole command"`
	Author   string        `long:"author" env:"GODWITSPREAD_AUTHOR" default:"operator" description:"name to publish under"`
	Version  func()        `long:"version" description:"print the version and exit"`
}

// client is one run of the operators' client.
type client struct {
	options clientOptions
	stdout  io.Writer
	stderr  io.Writer
	code    int
}

// Client runs the operators' client.
func Client(arguments []string, stdout, stderr io.Writer) int {
	client := &client{stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("godwitspread", flags.HelpFlag|flags.PassDoubleDash)
	version := false
	client.options.Version = func() { version = true }
	if err := client.register(parser); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if version || command == nil {
			return nil
		}
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(arguments)
	if version {
		fmt.Fprintln(stdout, "godwitspread", Version)
		return ExitDone
	}
	var problem *flags.Error
	if errors.As(err, &problem) {
		return usage(err, stdout, stderr)
	}
	if err != nil {
		fmt.Fprintln(stderr, "godwitspread:", err)
		if client.code == 0 {
			client.code = ExitFailed
		}
	}
	return client.code
}

// register builds the tree of commands.
func (client *client) register(parser *flags.Parser) error {
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
		{"config", "Check, publish and show the configuration", []entry{
			{"check", "Check a text without publishing it", &checkCommand{client: client}},
			{"publish", "Publish a text", &publishCommand{client: client}},
			{"show", "Print the text in force", &showCommand{client: client}},
			{"history", "List the published changes", &historyCommand{client: client}},
			{"diff", "Compare a text with the one in force", &diffCommand{client: client}},
		}},
		{"key", "Give and withdraw the keys of callers", []entry{
			{"give", "Print a fresh key for a workspace, once", &giveCommand{client: client}},
			{"withdraw", "Withdraw a key for good", &withdrawCommand{client: client}},
			{"list", "List the valid keys", &keysCommand{client: client}},
		}},
		{"program", "Look at programs", []entry{
			{"show", "Show the state of a program", &programCommand{client: client}},
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
	singles := []entry{
		{"status", "Show hosts, targets, slots and freshness", &statusCommand{client: client}},
		{"hosts", "Show the entry hosts on the users' platform: versions, ages, what is lost", &hostsCommand{client: client}},
		{"request", "Find an attempt or a program in the logs of hosts, and what they believed", &requestCommand{client: client}},
		{"completion", "Print the completion script of a shell", &completionCommand{client: client}},
	}
	for _, entry := range singles {
		if _, err := parser.AddCommand(entry.name, entry.summary, "", entry.command); err != nil {
			return err
		}
	}
	return nil
}

// context bounds the command.
func (client *client) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), client.options.Timeout)
}

// log returns the platform's log.
func (client *client) log() (*platform.Client, error) {
	if client.options.Platform == "" {
		return nil, errors.New("--platform is missing, expected the URL of the platform's log")
	}
	return platform.NewClient(strings.TrimSuffix(client.options.Platform, "/"), exchangeTimeout), nil
}

const exchangeTimeout = 5 * time.Second

// folded is the configuration stream as read to its end.
type folded struct {
	state   *configuration.State
	changes []changeLine
	verdict map[string]configuration.Verdict
}

// changeLine is one published change.
type changeLine struct {
	Offset  int64                 `json:"offset"`
	Version uint64                `json:"version"`
	Base    uint64                `json:"base"`
	Author  string                `json:"author"`
	Verdict configuration.Verdict `json:"verdict"`
	record  string
}

// fold reads the configuration stream to its end.
func (client *client) fold(ctx context.Context, log platform.Log) (*folded, error) {
	folded := &folded{state: configuration.NewState(), verdict: make(map[string]configuration.Verdict)}
	from := int64(0)
	for {
		page, err := log.Read(ctx, platform.ConfigurationStream, from, 0, 0)
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Entries {
			folded.apply(entry)
			from = entry.Offset + 1
		}
		if from >= page.End || len(page.Entries) == 0 {
			return folded, nil
		}
	}
}

func (folded *folded) apply(entry platform.Entry) {
	record, err := configuration.Decode(entry.Data)
	if err != nil {
		folded.state.Advance(entry.Offset)
		return
	}
	verdict := folded.state.Apply(entry.Offset, record)
	if _, seen := folded.verdict[record.ID]; !seen {
		folded.verdict[record.ID] = verdict
	}
	if record.Change != nil && !record.Change.Refresh {
		folded.changes = append(folded.changes, changeLine{
			Offset: entry.Offset, Version: record.Change.Version, Base: record.Change.Base,
			Author: record.Change.Author, Verdict: verdict, record: record.ID,
		})
	}
}

// withLog runs a command that reads the stream and may publish to it.
func (client *client) withLog(run func(ctx context.Context, log platform.Log, folded *folded) error) error {
	log, err := client.log()
	if err != nil {
		return err
	}
	ctx, cancel := client.context()
	defer cancel()
	folded, err := client.fold(ctx, log)
	if err != nil {
		return err
	}
	return run(ctx, log, folded)
}

// publish appends a record and reads back what became of it. An append whose
// answer is lost is repeated with the same identifier.
func (client *client) publish(ctx context.Context, log platform.Log, record configuration.Record) (*folded, configuration.Verdict, error) {
	data, err := record.Encode()
	if err != nil {
		return nil, "", err
	}
	var last error
	for ctx.Err() == nil {
		if _, err := log.Append(ctx, platform.ConfigurationStream, data); err != nil {
			last = err
		}
		folded, err := client.fold(ctx, log)
		if err != nil {
			last = err
		} else if verdict, ok := folded.verdict[record.ID]; ok {
			return folded, verdict, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(publishPause):
		}
	}
	return nil, "", fmt.Errorf("the log did not confirm the record, it may still take effect: %w", errors.Join(last, ctx.Err()))
}

const publishPause = 200 * time.Millisecond

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

// fetch reads a JSON document from a daemon.
func (client *client) fetch(ctx context.Context, daemon, path string, target any) error {
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
	return json.NewDecoder(response.Body).Decode(target)
}
