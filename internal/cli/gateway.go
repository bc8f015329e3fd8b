package cli

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
	"go.uber.org/fx"

	"github.com/godwitspread/godwitspread/internal/gateway"
	"github.com/godwitspread/godwitspread/platform"
)

// gatewayCommand is the daemon's command for the users' platform.
const gatewayCommand = "gateway"

// secretVariable holds the secret that all hosts share.
const secretVariable = "GODWITSPREAD_PEER_SECRET"

// Gateway runs an entry host on the users' platform.
func Gateway(stdout, stderr io.Writer) int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		fmt.Fprintf(stderr, "%s is not set, expected the path of the settings file\n", platform.SettingsVariable)
		return ExitUsage
	}
	settings, faults := platform.LoadSettings(path)
	if len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintln(stderr, fault)
		}
		return ExitUsage
	}
	settings.PeerSecret = os.Getenv(secretVariable)
	if len(settings.PeerSecret) < 16 {
		fmt.Fprintf(stderr, "%s has %d characters, expected at least 16\n", secretVariable, len(settings.PeerSecret))
		return ExitUsage
	}
	logger := &log.Logger{Level: log.InfoLevel, Handler: jsonhandler.New(stdout)}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			logger.Info("settings file read again")
		}
	}()
	app := fx.New(gateway.Module(settings, logger), fx.StartTimeout(startTimeout), fx.StopTimeout(settings.Bounds.Grace))
	return run(app, stderr)
}
