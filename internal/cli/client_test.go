package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/cli"
	"github.com/godwitspread/godwitspread/internal/standin"
)

// operator runs the client against a simulated platform.
type operator struct {
	t      *testing.T
	url    string
	folder string
}

// newOperator returns an operator whose platform loses the response to an append if the
// next random number, which cycles through 1/3, 2/3 and 0, is below the loss rate.
func newOperator(t *testing.T, lossRate float64) *operator {
	t.Helper()
	calls := 0.0
	log := standin.NewLog(clockwork.NewRealClock(), func() float64 { calls++; return float64(int(calls)%3) / 3 }, time.Hour, 1000)
	log.SetFaults(standin.LogFaults{LostResponses: lossRate})
	server := httptest.NewServer(standin.NewPlatform(log, 0).Handler())
	t.Cleanup(server.Close)
	return &operator{t: t, url: server.URL, folder: t.TempDir()}
}

func (operator *operator) run(arguments ...string) (code int, stdout, stderr string) {
	var stdoutBuffer, stderrBuffer bytes.Buffer
	code = cli.RunClient(append([]string{"--platform", operator.url}, arguments...), &stdoutBuffer, &stderrBuffer)
	return code, stdoutBuffer.String(), stderrBuffer.String()
}

func (operator *operator) file(name, text string) string {
	path := filepath.Join(operator.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		operator.t.Fatal(err)
	}
	return path
}

const configurationText = `data_centres: [{name: a, hosts: 1}]
workspaces: [{name: w, rate: 5, burst: 10}]
`

// TestPublish guards against a wrong verdict when the response to an append is
// lost and the append is repeated, and against overwriting a concurrent change.
func TestPublish(t *testing.T) {
	for _, lossRate := range []float64{0, 0.5} {
		is := is.New(t)
		operator := newOperator(t, lossRate)
		first, second := operator.file("1.yaml", configurationText), operator.file("2.yaml", strings.Replace(configurationText, "rate: 5", "rate: 6", 1))
		code, stdout, _ := operator.run("config", "publish", first)
		is.Equal(code, cli.ExitOK)
		is.True(strings.Contains(stdout, "version 1 is in force"))
		code, _, stderr := operator.run("--author", "late", "config", "publish", "--base", "0", second)
		is.Equal(code, cli.ExitConflict) // of two changes to the same version, the first is accepted
		is.True(strings.Contains(stderr, "version 1 by operator was published first"))
		is.True(strings.Contains(stderr, "rate: 6")) // the error includes a diff
		code, _, _ = operator.run("config", "publish", second)
		is.Equal(code, cli.ExitOK)
		_, stdout, _ = operator.run("-o", "json", "config", "history")
		var history []struct {
			Version uint64 `json:"version"`
			Verdict string `json:"verdict"`
		}
		is.NoErr(json.Unmarshal([]byte(stdout), &history))
		is.True(len(history) >= 3)
		_, stdout, _ = operator.run("config", "show")
		is.True(strings.Contains(stdout, "rate: 6"))
		_, stdout, _ = operator.run("config", "diff", first)
		is.True(strings.Contains(stdout, "-workspaces: [{name: w, rate: 6"))
	}
}

// TestKeys guards against keys for unknown workspaces, against secrets in listings,
// and against withdrawing a key twice.
func TestKeys(t *testing.T) {
	is := is.New(t)
	operator := newOperator(t, 0)
	code, _, _ := operator.run("config", "publish", operator.file("1.yaml", configurationText))
	is.Equal(code, cli.ExitOK)
	code, _, stderr := operator.run("key", "give", "nobody")
	is.Equal(code, cli.ExitFailed)
	is.True(strings.Contains(stderr, `workspace "nobody" does not exist`))
	_, stdout, _ := operator.run("-o", "json", "key", "give", "w")
	var issued struct {
		Key    string `json:"key"`
		Secret string `json:"secret"`
	}
	is.NoErr(json.Unmarshal([]byte(stdout), &issued))
	_, stdout, _ = operator.run("key", "list")
	is.True(strings.Contains(stdout, issued.Key) && !strings.Contains(stdout, issued.Secret)) // key list never prints a secret
	code, _, _ = operator.run("key", "withdraw", issued.Key)
	is.Equal(code, cli.ExitOK)
	code, _, _ = operator.run("key", "withdraw", issued.Key)
	is.Equal(code, cli.ExitFailed)
}

// TestUsage checks the exit code and the output of command lines that need no
// published configuration.
func TestUsage(t *testing.T) {
	operator := newOperator(t, 0)
	tests := []struct {
		name      string
		arguments []string
		code      int
		output    string
	}{
		{"help is printed", []string{"--help"}, cli.ExitOK, "config"},
		{"version is printed", []string{"--version"}, cli.ExitOK, "godwitspread"},
		{"unknown command is a usage error", []string{"launch"}, cli.ExitUsage, "launch"},
		{"unknown flag is a usage error", []string{"--speed", "9"}, cli.ExitUsage, "speed"},
		{"missing file fails", []string{"config", "check", "/does/not/exist"}, cli.ExitFailed, "no such file"},
		{"invalid configuration is reported with its line", []string{"config", "check", operator.file("bad.yaml", "workspaces: [{name: w, rate: 0, burst: 1}]")}, cli.ExitInvalid, "line 1"},
		{"status without a daemon fails", []string{"status"}, cli.ExitFailed, "--daemon is missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := operator.run(test.arguments...)
			is.Equal(code, test.code)
			is.True(strings.Contains(stdout+stderr, test.output))
		})
	}
}

// TestDaemonSettings guards against reporting only the first invalid flag, and
// against printing the peer secret in an error.
func TestDaemonSettings(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	code := cli.RunDaemon([]string{
		"--host", "a.b", "--data-centre", "x", "--platform", "ftp://x", "--peer-secret", "tiny-secret", "--caller-address", "localhost:1",
	}, &stdout, &stderr)
	is.Equal(code, cli.ExitUsage)
	for _, flag := range []string{"--host", "--platform", "--peer-secret", "--caller-address"} {
		is.True(strings.Contains(stderr.String(), flag)) // every invalid flag is reported
	}
	is.True(!strings.Contains(stderr.String(), "tiny-secret")) // the secret itself is not printed
}
