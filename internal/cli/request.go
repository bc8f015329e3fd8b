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
	Before time.Duration `long:"before" default:"5s" description:"how long before each line of the request to include events of the same host"`
	Args   struct {
		ID    string   `positional-arg-name:"id" required:"true" description:"identifier of an attempt or a program"`
		Files []string `positional-arg-name:"file" description:"log files of hosts; standard input if there are none"`
	} `positional-args:"true" required:"true"`
}

// logLine is one line of a host's log. Host is the last word before the JSON document, or
// the name of the log file without its extension if there is no such word.
type logLine struct {
	Host    string         `json:"host"`
	Time    time.Time      `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields,omitempty"`
}

const maxLineBytes = 1 << 20 // a longer line fails the command

// Execute prints the log lines of an attempt or a program, and the events of its
// hosts shortly before.
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
	matches := matchingLines(lines, command.Args.ID, command.Before)
	if len(matches) == 0 {
		return fmt.Errorf("no line of %d names %q as an attempt or a program", len(lines), command.Args.ID)
	}
	rows := make([][]string, 0, len(matches))
	for _, line := range matches {
		rows = append(rows, []string{line.Time.Format("15:04:05.000"), line.Host, line.Level, line.Message, line.formatFields()})
	}
	return command.client.print(matches, []string{"TIME", "HOST", "LEVEL", "MESSAGE", "FIELDS"}, rows)
}

func readLogFile(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	lines, err := readLog(file, strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
	return lines, errors.Join(err, file.Close())
}

// readLog parses the JSON lines of a log and ignores all other lines.
func readLog(reader io.Reader, host string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
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
		if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
			line.Host = prefix[len(prefix)-1]
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// matchingLines returns the lines of an attempt or a program sorted by time. For
// an attempt, it includes all lines of its program. It adds the host events that
// the same hosts logged shortly before these lines.
func matchingLines(lines []logLine, id string, before time.Duration) []logLine {
	programs := map[string]bool{id: true}
	for _, line := range lines {
		if program, ok := line.Fields["program"].(string); ok && line.Fields["attempt"] == id {
			programs[program] = true
		}
	}
	var matches []logLine
	for _, line := range lines {
		program, _ := line.Fields["program"].(string)
		if line.Fields["attempt"] == id || programs[program] {
			matches = append(matches, line)
		}
	}
	matchTimes := make(map[string][]time.Time)
	for _, line := range matches {
		matchTimes[line.Host] = append(matchTimes[line.Host], line.Time)
	}
	for _, line := range lines {
		if !line.isHostEvent() {
			continue
		}
		for _, at := range matchTimes[line.Host] {
			if !line.Time.After(at) && at.Sub(line.Time) <= before {
				matches = append(matches, line)
				break
			}
		}
	}
	slices.SortStableFunc(matches, func(left, right logLine) int { return left.Time.Compare(right.Time) })
	return matches
}

// isHostEvent reports whether the line is about the host rather than a request.
func (line logLine) isHostEvent() bool {
	_, attempt := line.Fields["attempt"]
	_, program := line.Fields["program"]
	return !attempt && !program
}

// formatFields returns the fields as name=value pairs, sorted by name.
func (line logLine) formatFields() string {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	pairs := make([]string, 0, len(names))
	for _, name := range names {
		pairs = append(pairs, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(pairs, " ")
}
