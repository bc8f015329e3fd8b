package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/daemon"
	"github.com/godwitspread/godwitspread/internal/platform"
)

// fileArgument is the path of a configuration file.
type fileArgument struct {
	File string `positional-arg-name:"file" required:"true"`
}

// loadText reads and validates a configuration file.
func (client *client) loadText(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if _, err := configuration.Parse(data); err != nil {
		client.exitCode = ExitInvalid
		return nil, fmt.Errorf("%s has problems:\n%w", path, err)
	}
	return data, nil
}

type configCheckCommand struct {
	client *client
	Args   fileArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *configCheckCommand) Execute([]string) error {
	if _, err := command.client.loadText(command.Args.File); err != nil {
		return err
	}
	fmt.Fprintln(command.client.stdout, "the text is in order")
	return nil
}

type configPublishCommand struct {
	client *client
	Args   fileArgument `positional-args:"true" required:"true"`
	Base   int64        `long:"base" default:"-1" description:"version that the change is based on; -1 for the version in force"`
	Wait   bool         `long:"wait" description:"wait until all daemons given by --daemon have the new version"`
}

// Execute implements flags.Commander.
func (command *configPublishCommand) Execute([]string) error {
	text, err := command.client.loadText(command.Args.File)
	if err != nil {
		return err
	}
	return command.client.withLog(func(ctx context.Context, log platform.Log, before *history) error {
		return command.publish(ctx, log, before, text)
	})
}

func (command *configPublishCommand) publish(ctx context.Context, log platform.Log, before *history, text []byte) error {
	client := command.client
	base := before.state.Version()
	if command.Base >= 0 {
		base = uint64(command.Base)
	}
	record := configuration.Record{ID: rand.Text(), Change: &configuration.Change{
		Version: base + 1, Base: base, Author: client.options.Author, Text: text,
	}}
	after, verdict, err := client.publish(ctx, log, record)
	if err != nil {
		return err
	}
	if verdict != configuration.Accepted {
		return command.conflictError(after, base, text)
	}
	fmt.Fprintf(client.stdout, "version %d is in force\n", base+1)
	if command.Wait {
		return client.waitForVersion(ctx, base+1)
	}
	return nil
}

// conflictError returns an error that names the change that was accepted instead
// of this one and shows how the texts differ.
func (command *configPublishCommand) conflictError(after *history, base uint64, text []byte) error {
	command.client.exitCode = ExitConflict
	for _, change := range after.changes {
		if change.Base == base && change.Verdict == configuration.Accepted {
			return fmt.Errorf("version %d by %s was published first; make the change again from it:\n%s",
				change.Version, change.Author, unifiedDiff(string(after.state.Source()), string(text), "in force", "yours"))
		}
	}
	return fmt.Errorf("version %d is in force, the change was made from version %d", after.state.Version(), base)
}

// unifiedDiff returns a unified diff of two texts.
func unifiedDiff(from, to, fromName, toName string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to), FromFile: fromName, ToFile: toName, Context: 2,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

const statusPollInterval = 250 * time.Millisecond

// waitForVersion polls the daemons until all of them have a version. On timeout,
// the error names the daemons that lag or do not respond.
func (client *client) waitForVersion(ctx context.Context, version uint64) error {
	if len(client.options.Daemons) == 0 {
		return errors.New("--wait needs the operators' address of at least one --daemon")
	}
	pending := client.options.Daemons
	for {
		var lagging []string
		for _, address := range pending {
			var status daemon.Status
			if err := client.fetch(ctx, address, "/status", &status); err != nil || status.Configuration.Version < version {
				lagging = append(lagging, address)
			}
		}
		pending = lagging
		if len(pending) == 0 {
			fmt.Fprintf(client.stdout, "all %d daemons have version %d\n", len(client.options.Daemons), version)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no sign of version %d from %s", version, strings.Join(pending, ", "))
		case <-time.After(statusPollInterval):
		}
	}
}

type configShowCommand struct{ client *client }

// Execute implements flags.Commander.
func (command *configShowCommand) Execute([]string) error {
	return command.client.withHistory(func(history *history) error {
		if history.state.Version() == 0 {
			return errors.New("no configuration was published yet")
		}
		_, err := command.client.stdout.Write(history.state.Source())
		return err
	})
}

// withHistory replays the configuration stream for a read-only command.
func (client *client) withHistory(inspect func(history *history) error) error {
	return client.withLog(func(_ context.Context, _ platform.Log, history *history) error { return inspect(history) })
}

type configHistoryCommand struct{ client *client }

// Execute implements flags.Commander.
func (command *configHistoryCommand) Execute([]string) error {
	return command.client.withHistory(func(history *history) error {
		rows := make([][]string, 0, len(history.changes))
		for _, change := range history.changes {
			rows = append(rows, []string{
				strconv.FormatUint(change.Version, 10), strconv.FormatUint(change.Base, 10), change.Author, string(change.Verdict),
			})
		}
		return command.client.print(history.changes, []string{"VERSION", "BASE", "AUTHOR", "VERDICT"}, rows)
	})
}

type configDiffCommand struct {
	client *client
	Args   fileArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *configDiffCommand) Execute([]string) error {
	text, err := command.client.loadText(command.Args.File)
	if err != nil {
		return err
	}
	return command.client.withHistory(func(history *history) error {
		_, err := fmt.Fprint(command.client.stdout,
			unifiedDiff(string(history.state.Source()), string(text), "in force", command.Args.File))
		return err
	})
}
