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

// operator runs the client against a stand-in of the platform.
type operator struct {
	t      *testing.T
	url    string
	folder string
}

func newOperator(t *testing.T, lose float64) *operator {
	t.Helper()
	calls := 0.0
	log := standin.NewLog(clockwork.NewRealClock(), func() float64 { calls++; return float64(int(calls)%3) / 3 }, time.Hour, 1000)
	log.SetFaults(standin.LogFaults{LoseAnswers: lose})
	server := httptest.NewServer(standin.NewPlatform(log, 0).Handler())
	t.Cleanup(server.Close)
	return &operator{t: t, url: server.URL, folder: t.TempDir()}
}

func (operator *operator) run(arguments ...string) (code int, stdout, stderr string) {
	var out, errors bytes.Buffer
	code = cli.Client(append([]string{"--platform", operator.url}, arguments...), &out, &errors)
	return code, out.String(), errors.String()
}

func (operator *operator) file(name, text string) string {
	path := filepath.Join(operator.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		operator.t.Fatal(err)
	}
	return path
}

const text = `data_centres: [{name: a, hosts: 1}]
workspaces: [{name: w, rate: 5, burst: 10}]
`

func TestPublish(t *testing.T) {
	for _, lose := range []float64{0, 0.5} {
		is := is.New(t)
		operator := newOperator(t, lose)
		first, second := operator.file("1.yaml", text), operator.file("2.yaml", strings.Replace(text, "rate: 5", "rate: 6", 1))
		code, out, _ := operator.run("config", "publish", first)
		is.Equal(code, cli.ExitDone)
		is.True(strings.Contains(out, "version 1 is in force"))
		code, _, fault := operator.run("--author", "late", "config", "publish", "--base", "0", second)
		is.Equal(code, cli.ExitConflict) // of racing changes the first wins
		is.True(strings.Contains(fault, "version 1 by operator was published first"))
		is.True(strings.Contains(fault, "rate: 6")) // with what differs
		code, _, _ = operator.run("config", "publish", second)
		is.Equal(code, cli.ExitDone)
		_, out, _ = operator.run("-o", "json", "config", "history")
		var history []struct {
			Version uint64 `json:"version"`
			Verdict string `json:"verdict"`
		}
		is.NoErr(json.Unmarshal([]byte(out), &history))
		is.True(len(history) >= 3)
		_, out, _ = operator.run("config", "show")
		is.True(strings.Contains(out, "rate: 6"))
		_, out, _ = operator.run("config", "diff", first)
		is.True(strings.Contains(out, "-workspaces: [{name: w, rate: 6"))
	}
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	operator := newOperator(t, 0)
	code, _, _ := operator.run("config", "publish", operator.file("1.yaml", text))
	is.Equal(code, cli.ExitDone)
	code, _, fault := operator.run("key", "give", "nobody")
	is.Equal(code, cli.ExitFailed)
	is.True(strings.Contains(fault, `workspace "nobody" does not exist`))
	_, out, _ := operator.run("-o", "json", "key", "give", "w")
	var given struct {
		Key    string `json:"key"`
		Secret string `json:"secret"`
	}
	is.NoErr(json.Unmarshal([]byte(out), &given))
	_, out, _ = operator.run("key", "list")
	is.True(strings.Contains(out, given.Key) && !strings.Contains(out, given.Secret)) // a secret is shown once
	code, _, _ = operator.run("key", "withdraw", given.Key)
	is.Equal(code, cli.ExitDone)
	code, _, _ = operator.run("key", "withdraw", given.Key)
	is.Equal(code, cli.ExitFailed)
}

func TestUsage(t *testing.T) {
	operator := newOperator(t, 0)
	tests := []struct {
		name      string
		arguments []string
		code      int
		says      string
	}{
		{"help", []string{"--help"}, cli.ExitDone, "config"},
		{"version", []string{"--version"}, cli.ExitDone, "godwitspread"},
		{"unknown command", []string{"launch"}, cli.ExitUsage, "launch"},
		{"unknown flag", []string{"--speed", "9"}, cli.ExitUsage, "speed"},
		{"missing file", []string{"config", "check", "/does/not/exist"}, cli.ExitFailed, "no such file"},
		{"faulty text", []string{"config", "check", operator.file("bad.yaml", "workspaces: [{name: w, rate: 0, burst: 1}]")}, cli.ExitFaulty, "line 1"},
		{"status without a daemon", []string{"status"}, cli.ExitFailed, "--daemon is missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, out, fault := operator.run(test.arguments...)
			is.Equal(code, test.code)
			is.True(strings.Contains(out+fault, test.says))
		})
	}
}

func TestDaemonSettings(t *testing.T) {
	is := is.New(t)
	var out, fault bytes.Buffer
	code := cli.Daemon([]string{
		"--host", "a.b", "--data-centre", "x", "--platform", "ftp://x", "--peer-secret", "tiny-secret", "--caller-address", "localhost:1",
	}, &out, &fault)
	is.Equal(code, cli.ExitUsage)
	for _, flag := range []string{"--host", "--platform", "--peer-secret", "--caller-address"} {
		is.True(strings.Contains(fault.String(), flag)) // each bad value is named
	}
	is.True(!strings.Contains(fault.String(), "tiny-secret")) // but not the secret
}
