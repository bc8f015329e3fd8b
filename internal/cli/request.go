package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

type requestCommand struct {
	client *client
	Before time.Duration `long:"before" default:"5s" description:"how far back to look for what the hosts believed"`
	Args   struct {
		ID    string   `positional-arg-name:"id" required:"true" description:"attempt or program"`
		Files []string `positional-arg-name:"file" description:"logs of hosts; standard input if none is named"`
	} `positional-args:"true" required:"true"`
}

// logLine is one line of a host's log. What stands before the JSON names the
// host, or else the file does.
type logLine struct {
	Host    string         `json:"host"`
	Time    time.Time      `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields,omitempty"`
}

const maxLogLine = 1 << 20 // bytes; longer lines are passed over

// Execute prints the lines of a request and what its hosts believed before.
func (command *requestCommand) Execute([]string) error {
	if command.Before < 0 {
		return fmt.Errorf("--before is %v, expected a time above zero", command.Before)
	}
	var lines []logLine
	if len(command.Args.Files) == 0 {
		read, err := readLog(os.Stdin, "-")
		if err != nil {
			return fmt.Errorf("read standard input: %w", err)
		}
		lines = read
	}
	for _, name := range command.Args.Files {
		read, err := readLogFile(name)
		if err != nil {
			return fmt.Errorf("read log %q: %w", name, err)
		}
		lines = append(lines, read...)
	}
	found := linesOf(lines, command.Args.ID, command.Before)
	if len(found) == 0 {
		return fmt.Errorf("no line of %d names %q as an attempt or a program", len(lines), command.Args.ID)
	}
	rows := make([][]string, 0, len(found))
	for _, line := range found {
		rows = append(rows, []string{line.Time.Format("15:04:05.000"), line.Host, line.Level, line.Message, line.details()})
	}
	return command.client.print(found, []string{"TIME", "HOST", "LEVEL", "MESSAGE", "FIELDS"}, rows)
}

func readLogFile(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	lines, err := readLog(file, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
	return lines, errors.Join(err, file.Close())
}

// readLog reads the structured lines of a log. Other lines are passed over.
func readLog(reader io.Reader, host string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 4096), maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line logLine
		if err := json.Unmarshal([]byte(text[start:]), &line); err != nil || line.Message == "" {
			continue
		}
		line.Host = host
		if words := strings.Fields(text[:start]); len(words) > 0 {
			line.Host = words[len(words)-1]
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// linesOf returns the lines of an attempt or a program in order of time, with
// the warnings and changes of belief of the same hosts shortly before.
func linesOf(lines []logLine, id string, before time.Duration) []logLine {
	programs := map[string]bool{id: true}
	for _, line := range lines {
		if program, ok := line.Fields["program"].(string); ok && line.Fields["attempt"] == id {
			programs[program] = true
		}
	}
	var found []logLine
	for _, line := range lines {
		program, _ := line.Fields["program"].(string)
		if line.Fields["attempt"] == id || programs[program] {
			found = append(found, line)
		}
	}
	hosts := make(map[string][]time.Time)
	for _, line := range found {
		hosts[line.Host] = append(hosts[line.Host], line.Time)
	}
	for _, line := range lines {
		if !line.ofHost() {
			continue
		}
		for _, at := range hosts[line.Host] {
			if !line.Time.After(at) && at.Sub(line.Time) <= before {
				found = append(found, line)
				break
			}
		}
	}
	slices.SortStableFunc(found, func(left, right logLine) int { return left.Time.Compare(right.Time) })
	return found
}

// ofHost reports whether the line tells of the host and of no request.
func (line logLine) ofHost() bool {
	_, attempt := line.Fields["attempt"]
	_, program := line.Fields["program"]
	return !attempt && !program
}

// details returns the fields in order of name.
func (line logLine) details() string {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(parts, " ")
}
