package cli

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/platform"
)

type keyGiveCommand struct {
	client *client
	Args   struct {
		Workspace string `positional-arg-name:"workspace" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *keyGiveCommand) Execute([]string) error {
	return command.client.withLog(command.give)
}

func (command *keyGiveCommand) give(ctx context.Context, log platform.Log, history *history) error {
	client := command.client
	if _, ok := history.state.Text().Workspace(command.Args.Workspace); !ok {
		return fmt.Errorf("workspace %q does not exist in version %d", command.Args.Workspace, history.state.Version())
	}
	secret, issued := key.Generate(command.Args.Workspace)
	record := configuration.Record{ID: rand.Text(), Give: &configuration.Give{
		Key: issued.ID, Digest: issued.Digest, Workspace: issued.Workspace, Author: client.options.Author,
	}}
	if _, _, err := client.publish(ctx, log, record); err != nil {
		return err
	}
	output := struct {
		Key       string `json:"key"`
		Secret    string `json:"secret"`
		Workspace string `json:"workspace"`
	}{issued.ID, secret, issued.Workspace}
	return client.print(output, []string{"KEY", "SECRET", "WORKSPACE"}, [][]string{{issued.ID, secret, issued.Workspace}})
}

type keyWithdrawCommand struct {
	client *client
	Args   struct {
		Key string `positional-arg-name:"key" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *keyWithdrawCommand) Execute([]string) error {
	return command.client.withLog(command.withdraw)
}

func (command *keyWithdrawCommand) withdraw(ctx context.Context, log platform.Log, history *history) error {
	if !history.state.Ring().Valid(command.Args.Key) {
		return fmt.Errorf("key %q is not valid, there is nothing to withdraw", command.Args.Key)
	}
	record := configuration.Record{ID: rand.Text(), Withdraw: &configuration.Withdraw{
		Key: command.Args.Key, Author: command.client.options.Author,
	}}
	if _, _, err := command.client.publish(ctx, log, record); err != nil {
		return err
	}
	fmt.Fprintf(command.client.stdout, "key %s is withdrawn\n", command.Args.Key)
	return nil
}

type keyListCommand struct{ client *client }

// Execute implements flags.Commander.
func (command *keyListCommand) Execute([]string) error {
	return command.client.withHistory(func(history *history) error {
		keys := history.state.Ring().Keys()
		rows := make([][]string, 0, len(keys))
		for _, entry := range keys {
			rows = append(rows, []string{entry.ID, entry.Workspace})
		}
		return command.client.print(keys, []string{"KEY", "WORKSPACE"}, rows)
	})
}
