package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"github.com/godwitspread/godwitspread/internal/gateway"
	"github.com/godwitspread/godwitspread/internal/hostclock"
	"github.com/godwitspread/godwitspread/internal/logline"
	"github.com/godwitspread/godwitspread/internal/spillover"
	"github.com/godwitspread/godwitspread/platform"
)

// gatewayCommand is the command of the daemon that runs it on the users' platform.
const gatewayCommand = "gateway"

// settingsPollInterval is how often the settings file is checked for changes that
// no SIGHUP announced.
const settingsPollInterval = 5 * time.Second

// gatewaySettings are the command-line settings that the platform's settings file
// does not provide.
type gatewaySettings struct {
	File              string        `long:"settings" env:"GODWITSPREAD_NODE_FILE" required:"true" description:"the platform's settings file"`
	PeerSecret        string        `long:"peer-secret" env:"GODWITSPREAD_PEER_SECRET" required:"true" description:"secret that all hosts share"`
	MetricsPort       int           `long:"metrics-port" env:"GODWITSPREAD_METRICS_PORT" default:"9464" description:"port that serves metrics and the status of the host"`
	LogLevel          string        `long:"log-level" env:"GODWITSPREAD_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	LogLinesPerSecond int           `long:"log-lines" env:"GODWITSPREAD_LOG_LINES" default:"400" description:"maximum number of log lines per second; the lines beyond it are only counted"`
	Spillover         bool          `long:"spillover" env:"GODWITSPREAD_SPILLOVER" description:"keep requests in the data centre unless it is full, and then send a share to others; without it targets of all data centres are compared"`
	EgressPrice       time.Duration `long:"egress-price" env:"GODWITSPREAD_EGRESS_PRICE" default:"5ms" description:"delay that is accepted to save sending a MiB to another data centre; used with --spillover"`
	QuotaCopies       bool          `long:"quota-copies" env:"GODWITSPREAD_QUOTA_COPIES" description:"keep a copy of each quota account on a second host, so that the limits hold after a host is lost"`
	CheckOnly         bool          `long:"check" description:"validate the settings and exit"`
}

// load reads the platform's settings file, adds the command-line settings, and
// returns every invalid setting as an error.
func (settings *gatewaySettings) load() (platform.Settings, []error) {
	loaded, problems := platform.LoadSettings(settings.File)
	if len(settings.PeerSecret) < minSecretLength {
		problems = append(problems, fmt.Errorf("--peer-secret has %d characters, expected at least %d", len(settings.PeerSecret), minSecretLength))
	}
	if settings.MetricsPort < 1 || settings.MetricsPort > 65535 {
		problems = append(problems, fmt.Errorf("--metrics-port is %d, expected a port from 1 to 65535", settings.MetricsPort))
	}
	if _, err := log.ParseLevel(settings.LogLevel); err != nil {
		problems = append(problems, fmt.Errorf("--log-level is %q, expected debug, info, warn or error", settings.LogLevel))
	}
	if settings.LogLinesPerSecond < 1 {
		problems = append(problems, fmt.Errorf("--log-lines is %d, expected a number above zero", settings.LogLinesPerSecond))
	}
	if _, err := spillover.NewPrice(settings.EgressPrice); err != nil {
		problems = append(problems, fmt.Errorf("--egress-price: %w", err))
	}
	loaded.Spillover, loaded.EgressPrice = settings.Spillover, settings.EgressPrice
	loaded.QuotaCopies = settings.QuotaCopies
	loaded.PeerSecret, loaded.MetricsPort = settings.PeerSecret, settings.MetricsPort
	return loaded, problems
}

// minSecretLength is the minimum length of the peer secret, in bytes.
const minSecretLength = 16

// Gateway runs an entry host on the users' platform until it receives a stop
// signal, and returns the exit code.
func Gateway(arguments []string, stdout, stderr io.Writer) int {
	// A signal that comes before the host has started must not end the process, and
	// neither must the end of the reader of the logs.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	var settings gatewaySettings
	parser := flags.NewNamedParser("godwitspreadd gateway", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", &settings); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if remaining, err := parser.ParseArgs(arguments); err != nil {
		return reportUsage(err, stdout, stderr)
	} else if len(remaining) > 0 {
		fmt.Fprintf(stderr, "unexpected argument %q\n", remaining[0])
		return ExitUsage
	}
	loaded, problems := settings.load()
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Fprintln(stderr, problem)
		}
		return ExitUsage
	}
	if settings.CheckOnly {
		fmt.Fprintln(stdout, "settings are valid")
		return ExitOK
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return reportUsage(err, stdout, stderr)
	}
	runtime.GOMAXPROCS(loaded.Cores)
	debug.SetMemoryLimit(gateway.HeapLimit(loaded.MemoryBytes))
	clock := hostclock.New()
	logHandler := logline.NewHandler(stdout, clock, settings.LogLinesPerSecond)
	defer logHandler.Close()
	logger := &log.Logger{Level: level, Handler: logHandler}
	var host *gateway.Gateway
	app := fx.New(
		gateway.Module(loaded, clock, logger), fx.Populate(&host), fx.StartTimeout(startTimeout), fx.StopTimeout(loaded.Bounds.Grace),
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSettings(ctx, hangup, &settings, logger, func(changed platform.Settings) {
		if host != nil {
			host.Reload(changed)
		}
	})
	return runApp(app, stderr)
}

// watchSettings reloads the settings file on SIGHUP and when its content changes.
// An invalid or unreadable file leaves the current settings in force.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, settings *gatewaySettings, logger log.Interface, reload func(platform.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastContent, err := os.ReadFile(settings.File)
	if err != nil {
		logger.WithError(err).Warn("cannot read the settings file")
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(settings.File)
		if err != nil {
			logger.WithError(err).Warn("cannot read the settings file; keeping the current settings")
			continue
		}
		if bytes.Equal(content, lastContent) && !signalled {
			continue
		}
		lastContent = content
		loaded, problems := settings.load()
		for _, problem := range problems {
			logger.WithError(problem).Error("invalid setting; keeping the current settings")
		}
		if len(problems) == 0 {
			reload(loaded)
		}
	}
}
