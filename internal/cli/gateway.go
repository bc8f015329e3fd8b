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
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"github.com/godwitspread/godwitspread/internal/gateway"
	"github.com/godwitspread/godwitspread/internal/logline"
	"github.com/godwitspread/godwitspread/platform"
)

// gatewayCommand is the daemon's command for the users' platform.
const gatewayCommand = "gateway"

// settingsInterval is how often the settings file is looked at for changes
// that no signal has told of.
const settingsInterval = 5 * time.Second

// gatewaySettings is the table of settings beside the platform's file.
type gatewaySettings struct {
	File        string `long:"settings" env:"GODWITSPREAD_NODE_FILE" required:"true" description:"the platform's settings file"`
	PeerSecret  string `long:"peer-secret" env:"GODWITSPREAD_PEER_SECRET" required:"true" description:"secret that all hosts share"`
	MetricsPort int    `long:"metrics-port" env:"GODWITSPREAD_METRICS_PORT" default:"9464" description:"port for metrics and the state of the host"`
	LogLevel    string `long:"log-level" env:"GODWITSPREAD_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	LogLines    int    `long:"log-lines" env:"GODWITSPREAD_LOG_LINES" default:"400" description:"most log lines a second; further ones are counted"`
	Check       bool   `long:"check" description:"check the settings and exit"`
}

// memoryShare is the part of the host's memory that the heap may take.
const memoryShare = 0.7

// load reads the platform's file and reports every fault.
func (settings *gatewaySettings) load() (platform.Settings, []error) {
	loaded, faults := platform.LoadSettings(settings.File)
	if len(settings.PeerSecret) < minSecret {
		faults = append(faults, fmt.Errorf("--peer-secret has %d characters, expected at least %d", len(settings.PeerSecret), minSecret))
	}
	if settings.MetricsPort < 1 || settings.MetricsPort > 65535 {
		faults = append(faults, fmt.Errorf("--metrics-port is %d, expected a port from 1 to 65535", settings.MetricsPort))
	}
	if _, err := log.ParseLevel(settings.LogLevel); err != nil {
		faults = append(faults, fmt.Errorf("--log-level is %q, expected debug, info, warn or error", settings.LogLevel))
	}
	if settings.LogLines < 1 {
		faults = append(faults, fmt.Errorf("--log-lines is %d, expected a number above zero", settings.LogLines))
	}
	loaded.PeerSecret, loaded.MetricsPort = settings.PeerSecret, settings.MetricsPort
	return loaded, faults
}

// minSecret is the shortest peer secret, in characters.
const minSecret = 16

// Gateway runs an entry host on the users' platform.
func Gateway(arguments []string, stdout, stderr io.Writer) int {
	var settings gatewaySettings
	parser := flags.NewNamedParser("godwitspreadd gateway", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", &settings); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if rest, err := parser.ParseArgs(arguments); err != nil {
		return usage(err, stdout, stderr)
	} else if len(rest) > 0 {
		fmt.Fprintf(stderr, "unexpected argument %q\n", rest[0])
		return ExitUsage
	}
	loaded, faults := settings.load()
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(stderr, fault)
		}
		return ExitUsage
	}
	if settings.Check {
		fmt.Fprintln(stdout, "settings are valid")
		return ExitDone
	}
	level, err := log.ParseLevel(settings.LogLevel)
	if err != nil {
		return usage(err, stdout, stderr)
	}
	runtime.GOMAXPROCS(loaded.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(loaded.MemoryBytes)))
	clock := clockwork.NewRealClock()
	logHandler := logline.NewHandler(stdout, clock, settings.LogLines)
	defer logHandler.Close()
	logger := &log.Logger{Level: level, Handler: logHandler}
	var host *gateway.Gateway
	app := fx.New(
		gateway.Module(loaded, clock, logger), fx.Populate(&host), fx.StartTimeout(startTimeout), fx.StopTimeout(loaded.Bounds.Grace),
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watchSettings(ctx, &settings, logger, func(changed platform.Settings) {
		if host != nil {
			host.Reload(changed)
		}
	})
	return run(app, stderr)
}

// watchSettings reads the settings file again on SIGHUP and when its content
// has changed. A faulty file changes nothing.
func watchSettings(ctx context.Context, settings *gatewaySettings, logger log.Interface, reload func(platform.Settings)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	known, err := os.ReadFile(settings.File)
	if err != nil {
		logger.WithError(err).Warn("settings file cannot be read")
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
			logger.WithError(err).Warn("settings file cannot be read; keeping the settings")
			continue
		}
		if bytes.Equal(content, known) && !signalled {
			continue
		}
		known = content
		loaded, faults := settings.load()
		for _, fault := range faults {
			logger.WithError(fault).Error("settings file has a fault; keeping the settings")
		}
		if len(faults) == 0 {
			reload(loaded)
		}
	}
}
