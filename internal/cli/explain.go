package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/godwitspread/godwitspread/internal/explain"
	"github.com/godwitspread/godwitspread/internal/gateway"
	"github.com/godwitspread/godwitspread/platform"
)

type explainCommand struct {
	client          *client
	File            string        `long:"file" description:"file with the HTTP/1.1 message of a request, - for standard input; replaces the path and the options below"`
	HostName        string        `long:"host-name" description:"host name that the caller asks for"`
	Method          string        `long:"method" default:"POST" description:"method of the request"`
	Key             string        `long:"key" env:"GODWITSPREAD_CALLER_KEY" description:"key of the workspace; other users of the machine can see it on the command line, but not in the environment"`
	Program         string        `long:"program" description:"identifier of the program"`
	Session         string        `long:"session" description:"identifier of the session, whose requests share a cached prompt"`
	Affinity        string        `long:"affinity" description:"identifier of the object that the request concerns"`
	PreviousTurn    string        `long:"previous-turn" description:"identifier of the turn that the request continues"`
	Model           string        `long:"model" description:"model that the prompt is for"`
	PromptParts     []string      `long:"prompt-part" description:"part of the prompt as ID:TOKENS; may be repeated, in order"`
	PromptTokens    int           `long:"prompt-tokens" description:"length of the prompt"`
	MaxTokens       int           `long:"max-tokens" description:"maximum number of generated tokens"`
	Budget          int           `long:"budget" description:"tokens that all turns of the program may generate"`
	TimeLeft        time.Duration `long:"time-left" description:"time until the caller stops waiting"`
	ProgramTimeLeft time.Duration `long:"program-time-left" description:"time until the deadline of the program"`
	BodyBytes       int           `long:"body-bytes" description:"size of the body"`
	Args            struct {
		Path string `positional-arg-name:"path" description:"path and query of the request"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (command *explainCommand) Execute([]string) error {
	client := command.client
	if len(client.options.Daemons) != 1 {
		client.exitCode = ExitUsage
		return errors.New("expected the operators' address of one host as --daemon")
	}
	message, err := command.message()
	if err != nil {
		return err
	}
	ctx, cancel := client.context()
	defer cancel()
	report, err := client.explain(ctx, client.options.Daemons[0], message)
	if err != nil {
		return err
	}
	if err := client.printReport(report); err != nil {
		return err
	}
	if rejection := report.Rejection; rejection != nil && report.Route == nil && rejection.Status == http.StatusNotFound {
		client.exitCode = ExitNoRoute
		return fmt.Errorf("no route leads from host name %q and path %q", report.Request.HostName, report.Request.Path)
	}
	return nil
}

// message returns the HTTP/1.1 message of the request, and sets the exit code on an error.
func (command *explainCommand) message() ([]byte, error) {
	if (command.File == "") == (command.Args.Path == "") {
		command.client.exitCode = ExitUsage
		return nil, errors.New("expected either a path or --file")
	}
	if command.File != "" {
		message, err := readMessage(command.File)
		if err != nil {
			command.client.exitCode = ExitUnreadable
			return nil, fmt.Errorf("read a request from %q: %w", command.File, err)
		}
		return message, nil
	}
	message, err := platform.CallerRequest{
		Method: command.Method, HostName: command.HostName, URI: command.Args.Path, Attempt: "explained", Key: command.Key,
		Program: command.Program, Session: command.Session, Affinity: command.Affinity, PreviousTurn: command.PreviousTurn,
		Model: command.Model, PromptParts: command.PromptParts, PromptTokens: command.PromptTokens, MaxTokens: command.MaxTokens, Budget: command.Budget,
		TimeLeft: command.TimeLeft, ProgramTimeLeft: command.ProgramTimeLeft, BodyBytes: command.BodyBytes,
	}.Encode()
	if err != nil {
		command.client.exitCode = ExitUsage
	}
	return message, err
}

// readMessage returns the content of a file with a request.
func readMessage(name string) ([]byte, error) {
	file := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer opened.Close()
		file = opened
	}
	message, err := io.ReadAll(file)
	if err != nil {
		return nil, err
	}
	if _, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(message))); err != nil {
		return nil, fmt.Errorf("content is no HTTP/1.1 message: %w", err)
	}
	return message, nil
}

// explain asks a host for a report on a request, and sets the exit code on an error.
func (client *client) explain(ctx context.Context, daemon string, message []byte) (*explain.Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+gateway.ExplainPath, bytes.NewReader(message))
	if err != nil {
		client.exitCode = ExitUsage
		return nil, err
	}
	request.Header.Set("Content-Type", "message/http")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		client.exitCode = ExitUnreachable
		return nil, fmt.Errorf("host does not respond: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		client.exitCode = ExitUnreachable
		return nil, fmt.Errorf("response of host %s breaks off: %w", daemon, err)
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("%s does not explain requests: it is no entry host, or runs an older build", daemon)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("host %s responded with %s: %s", daemon, response.Status, body)
	}
	report := &explain.Report{}
	if err := json.Unmarshal(body, report); err != nil {
		return nil, fmt.Errorf("decode the response of host %s: %w", daemon, err)
	}
	return report, nil
}
