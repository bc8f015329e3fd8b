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

// RunDaemon runs an entry host until it receives a stop signal, and returns the
// exit code. The command gateway is passed on to Gateway.
func RunDaemon(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) > 0 && arguments[0] == gatewayCommand {
		return Gateway(arguments[1:], stdout, stderr)
	}
	settings, err := daemon.Parse(arguments)
	if err != nil {
		code := reportUsage(err, stdout, stderr)
		if code == ExitOK {
			fmt.Fprintln(stdout, "\nOn the users' platform: godwitspreadd gateway --help")
		}
		return code
	}
	if settings.Version {
		fmt.Fprintln(stdout, "godwitspreadd", Version)
		return ExitOK
	}
	if problems := settings.Check(); len(problems) > 0 {
		sort.Slice(problems, func(a, b int) bool { return problems[a].Error() < problems[b].Error() })
		for _, problem := range problems {
			fmt.Fprintln(stderr, problem)
		}
		return ExitUsage
	}
	app := fx.New(
		daemon.Module(settings, newLogger(settings, stderr)),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.DrainLag+2*settings.DrainTimeout),
	)
	return runApp(app, stderr)
}

func runApp(app *fx.App, stderr io.Writer) int {
	// A stop signal that comes during the start is handled after it.
	stopped := app.Wait()
	startCtx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	<-stopped
	stopCtx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}

// newLogger returns a logger that writes text to a terminal and JSON otherwise,
// unless the settings choose a format.
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
