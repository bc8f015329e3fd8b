package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
	texthandler "github.com/apex/log/handlers/text"
	"github.com/mattn/go-isatty"
	"go.uber.org/fx"

	"github.com/godwitspread/godwitspread/internal/daemon"
)

const startTimeout = 15 * time.Second

// Daemon runs an entry host until it is told to stop.
func Daemon(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) > 0 && arguments[0] == gatewayCommand {
		return Gateway(arguments[1:], stdout, stderr)
	}
	settings, err := daemon.Parse(arguments)
	if err != nil {
		code := usage(err, stdout, stderr)
		if code == ExitDone {
			fmt.Fprintln(stdout, "\nOn the users' platform: godwitspreadd gateway --help")
		}
		return code
	}
	if settings.Version {
		fmt.Fprintln(stdout, "godwitspreadd", Version)
		return ExitDone
	}
	if faults := settings.Check(); len(faults) > 0 {
		sort.Slice(faults, func(a, b int) bool { return faults[a].Error() < faults[b].Error() })
		for _, fault := range faults {
			fmt.Fprintln(stderr, fault)
		}
		return ExitUsage
	}
	app := fx.New(
		daemon.Module(settings, newLogger(settings, stderr)),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.DrainLag+2*settings.DrainTimeout),
	)
	return run(app, stderr)
}

func run(app *fx.App, stderr io.Writer) int {
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	<-app.Wait()
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitDone
}

// newLogger returns a logger of lines for a terminal and of JSON otherwise.
func newLogger(settings daemon.Settings, stderr io.Writer) log.Interface {
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	terminal := false
	if file, ok := stderr.(*os.File); ok {
		terminal = isatty.IsTerminal(file.Fd())
	}
	logger := &log.Logger{Level: level, Handler: jsonhandler.New(stderr)}
	if settings.LogFormat == "text" || settings.LogFormat == "auto" && terminal {
		logger.Handler = texthandler.New(stderr)
	}
	return logger
}
