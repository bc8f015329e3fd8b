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

// fileArgument is the path of a configuration text.
type fileArgument struct {
	File string `positional-arg-name:"file" required:"true"`
}

// read loads and checks a text.
func (client *client) read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if _, err := configuration.Parse(data); err != nil {
		client.code = ExitFaulty
		return nil, fmt.Errorf("%s has problems:\n%w", path, err)
	}
	return data, nil
}

type checkCommand struct {
	client *client
	Args   fileArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *checkCommand) Execute([]string) error {
	if _, err := command.client.read(command.Args.File); err != nil {
		return err
	}
	fmt.Fprintln(command.client.stdout, "the text is in order")
	return nil
}

type publishCommand struct {
	client *client
	Args   fileArgument `positional-args:"true" required:"true"`
	Base   int64        `long:"base" default:"-1" description:"version that the text was made from; the one in force if left out"`
	Wait   bool         `long:"wait" description:"wait until the daemons that answer have the text"`
}

// Execute implements flags.Commander.
func (command *publishCommand) Execute([]string) error {
	text, err := command.client.read(command.Args.File)
	if err != nil {
		return err
	}
	return command.client.withLog(func(ctx context.Context, log platform.Log, before *folded) error {
		return command.publish(ctx, log, before, text)
	})
}

func (command *publishCommand) publish(ctx context.Context, log platform.Log, before *folded, text []byte) error {
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
		return command.lost(after, base, text)
	}
	fmt.Fprintf(client.stdout, "version %d is in force\n", base+1)
	if command.Wait {
		return client.waitFor(ctx, base+1)
	}
	return nil
}

// lost tells which change won against this one and how the texts differ.
func (command *publishCommand) lost(after *folded, base uint64, text []byte) error {
	command.client.code = ExitConflict
	for _, change := range after.changes {
		if change.Base == base && change.Verdict == configuration.Accepted {
			return fmt.Errorf("version %d by %s was published first; make the change again from it:\n%s",
				change.Version, change.Author, difference(string(after.state.Source()), string(text), "in force", "yours"))
		}
	}
	return fmt.Errorf("version %d is in force, the change was made from version %d", after.state.Version(), base)
}

// difference returns a unified diff of two texts.
func difference(from, to, fromName, toName string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to), FromFile: fromName, ToFile: toName, Context: 2,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

const waitPause = 250 * time.Millisecond

// waitFor polls the daemons until all have a version, and names those that do
// not answer or lag.
func (client *client) waitFor(ctx context.Context, version uint64) error {
	if len(client.options.Daemons) == 0 {
		return errors.New("--wait needs the operators' address of at least one --daemon")
	}
	missing := client.options.Daemons
	for {
		var lagging []string
		for _, address := range missing {
			var status daemon.Status
			if err := client.fetch(ctx, address, "/status", &status); err != nil || status.Configuration.Version < version {
				lagging = append(lagging, address)
			}
		}
		missing = lagging
		if len(missing) == 0 {
			fmt.Fprintf(client.stdout, "all %d daemons have version %d\n", len(client.options.Daemons), version)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no sign of version %d from %s", version, strings.Join(missing, ", "))
		case <-time.After(waitPause):
		}
	}
}

type showCommand struct{ client *client }

// Execute implements flags.Commander.
func (command *showCommand) Execute([]string) error {
	return command.client.withState(func(folded *folded) error {
		if folded.state.Version() == 0 {
			return errors.New("no configuration was published yet")
		}
		_, err := command.client.stdout.Write(folded.state.Source())
		return err
	})
}

// withState reads the configuration stream for a command that only looks.
func (client *client) withState(look func(folded *folded) error) error {
	return client.withLog(func(_ context.Context, _ platform.Log, folded *folded) error { return look(folded) })
}

type historyCommand struct{ client *client }

// Execute implements flags.Commander.
func (command *historyCommand) Execute([]string) error {
	return command.client.withState(func(folded *folded) error {
		rows := make([][]string, 0, len(folded.changes))
		for _, change := range folded.changes {
			rows = append(rows, []string{
				strconv.FormatUint(change.Version, 10), strconv.FormatUint(change.Base, 10), change.Author, string(change.Verdict),
			})
		}
		return command.client.print(folded.changes, []string{"VERSION", "BASE", "AUTHOR", "VERDICT"}, rows)
	})
}

type diffCommand struct {
	client *client
	Args   fileArgument `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *diffCommand) Execute([]string) error {
	text, err := command.client.read(command.Args.File)
	if err != nil {
		return err
	}
	return command.client.withState(func(folded *folded) error {
		_, err := fmt.Fprint(command.client.stdout,
			difference(string(folded.state.Source()), string(text), "in force", command.Args.File))
		return err
	})
}
