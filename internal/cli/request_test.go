package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const firstHostLog = `noise
36.09 dc-1 {"time":"2026-12-04T10:00:36.09Z","level":"info","message":"request refused","fields":{"attempt":"a1","program":"p1","reason":"budget_unavailable","status":503}}
34.38 dc-1 {"time":"2026-12-04T10:00:34.38Z","level":"warn","message":"cut off from the store and all other data centres; leaving the rotation"}
20.00 dc-1 {"time":"2026-12-04T10:00:20Z","level":"info","message":"host started"}
36.00 dc-1 {"time":"2026-12-04T10:00:36Z","level":"info","message":"request served","fields":{"attempt":"b1","program":"p2"}}
{"time": broken
`

const secondHostLog = `{"time":"2026-12-04T10:00:30Z","level":"info","message":"budget tokens allocated","fields":{"program":"p1","asked":520}}
{"time":"2026-12-04T10:00:29Z","level":"warn","message":"direct path to the store failed; calling through other hosts"}
`

// TestRequest guards against missing lines of other hosts, of the same program and
// of host events before a request, and against failing on lines that are not JSON.
func TestRequest(t *testing.T) {
	folder := t.TempDir()
	files := []string{filepath.Join(folder, "a.log"), filepath.Join(folder, "dc-2.log")}
	for index, text := range []string{firstHostLog, secondHostLog} {
		if err := os.WriteFile(files[index], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name  string
		id    string
		code  int
		lines []string // content of the expected lines, in order
	}{
		{"attempt includes its program's lines on both hosts", "a1", ExitOK, []string{
			"dc-2  warn   direct path to the store failed", "dc-2  info   budget tokens allocated", "dc-1  warn   cut off", "dc-1  info   request refused",
		}},
		{"program includes earlier host events", "p2", ExitOK, []string{"dc-1  warn   cut off", "dc-1  info   request served"}},
		{"unknown identifier fails", "nothing", ExitFailed, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(RunClient(append([]string{"request", test.id}, files...), &stdout, &stderr), test.code)
			lines := strings.Split(strings.TrimSpace(stdout.String()), "\n")[1:]
			if test.code != ExitOK {
				is.True(strings.Contains(stderr.String(), `names "nothing"`))
				return
			}
			is.Equal(len(lines), len(test.lines))
			for index, content := range test.lines {
				is.True(strings.Contains(lines[index], content)) // lines[index]
			}
		})
	}
}

// TestCompletion checks that each supported shell has a completion script and that
// other shells are rejected.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	for _, shell := range []string{"bash", "zsh", "fish"} {
		var stdout, stderr bytes.Buffer
		is.Equal(RunClient([]string{"completion", shell}, &stdout, &stderr), ExitOK)
		is.True(strings.Contains(stdout.String(), "GO_FLAGS_COMPLETION=1"))
	}
	var stdout, stderr bytes.Buffer
	is.Equal(RunClient([]string{"completion", "tcsh"}, &stdout, &stderr), ExitFailed)
	is.True(strings.Contains(stderr.String(), `shell is "tcsh"`))
}
