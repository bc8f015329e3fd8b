package cli

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/key"
	"github.com/godwitspread/godwitspread/internal/platform"
)

type giveCommand struct {
	client *client
	Args   struct {
		Workspace string `positional-arg-name:"workspace" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *giveCommand) Execute([]string) error {
	return command.client.withLog(command.give)
}

func (command *giveCommand) give(ctx context.Context, log platform.Log, folded *folded) error {
	client := command.client
	if _, ok := folded.state.Text().Workspace(command.Args.Workspace); !ok {
		return fmt.Errorf("workspace %q does not exist in version %d", command.Args.Workspace, folded.state.Version())
	}
	secret, given := key.Generate(command.Args.Workspace)
	record := configuration.Record{ID: rand.Text(), Give: &configuration.Give{
		Key: given.ID, Digest: given.Digest, Workspace: given.Workspace, Author: client.options.Author,
	}}
	if _, _, err := client.publish(ctx, log, record); err != nil {
		return err
	}
	printed := struct {
		Key       string `json:"key"`
		Secret    string `json:"secret"`
		Workspace string `json:"workspace"`
	}{given.ID, secret, given.Workspace}
	return client.print(printed, []string{"KEY", "SECRET", "WORKSPACE"}, [][]string{{given.ID, secret, given.Workspace}})
}

type withdrawCommand struct {
	client *client
	Args   struct {
		Key string `positional-arg-name:"key" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (command *withdrawCommand) Execute([]string) error {
	return command.client.withLog(command.withdraw)
}

func (command *withdrawCommand) withdraw(ctx context.Context, log platform.Log, folded *folded) error {
	if !folded.state.Ring().Valid(command.Args.Key) {
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

type keysCommand struct{ client *client }

// Execute implements flags.Commander.
func (command *keysCommand) Execute([]string) error {
	return command.client.withState(func(folded *folded) error {
		keys := folded.state.Ring().Keys()
		rows := make([][]string, 0, len(keys))
		for _, each := range keys {
			rows = append(rows, []string{each.ID, each.Workspace})
		}
		return command.client.print(keys, []string{"KEY", "WORKSPACE"}, rows)
	})
}
