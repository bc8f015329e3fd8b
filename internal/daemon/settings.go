// Package daemon connects the components of an entry host.
package daemon

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// Settings are the settings of a daemon. Each field is set by a flag or an
// environment variable.
type Settings struct {
	Host            string        `long:"host" env:"GODWITSPREAD_HOST" required:"true" description:"name of this host, unique in the fleet"`
	DataCentre      string        `long:"data-centre" env:"GODWITSPREAD_DATA_CENTRE" required:"true" description:"data centre of this host"`
	CallerAddress   string        `long:"caller-address" env:"GODWITSPREAD_CALLER_ADDRESS" default:"127.0.0.1:8080" description:"IP address and port for callers"`
	PeerAddress     string        `long:"peer-address" env:"GODWITSPREAD_PEER_ADDRESS" default:"127.0.0.1:8081" description:"IP address and port for other hosts"`
	MetricsAddress  string        `long:"metrics-address" env:"GODWITSPREAD_METRICS_ADDRESS" default:"127.0.0.1:8082" description:"IP address and port for operators: metrics, health and status"`
	PeerSecret      string        `long:"peer-secret" env:"GODWITSPREAD_PEER_SECRET" required:"true" description:"secret that all hosts share"`
	PlatformURL     string        `long:"platform" env:"GODWITSPREAD_PLATFORM" required:"true" description:"URL of the platform's log and host list"`
	PlatformTimeout time.Duration `long:"platform-timeout" env:"GODWITSPREAD_PLATFORM_TIMEOUT" default:"2s" description:"timeout of one request to the platform"`
	Peers           []string      `long:"peer" env:"GODWITSPREAD_PEERS" env-delim:"," description:"seed hosts as name=data_centre=address, to start without the host list"`
	AppendInterval  time.Duration `long:"append-interval" env:"GODWITSPREAD_APPEND_INTERVAL" default:"40ms" description:"minimum interval between two appends of this host to one stream"`
	MergeInterval   time.Duration `long:"merge-interval" env:"GODWITSPREAD_MERGE_INTERVAL" default:"100ms" description:"minimum interval between two merged appends of several hosts"`
	MergeHosts      int           `long:"merge-hosts" env:"GODWITSPREAD_MERGE_HOSTS" default:"8" description:"minimum number of live hosts in a data centre for its appends to be merged"`
	LogRetention    time.Duration `long:"log-retention" env:"GODWITSPREAD_LOG_RETENTION" default:"24h" description:"retention of records in the platform's log"`
	DrainLag        time.Duration `long:"drain-lag" env:"GODWITSPREAD_DRAIN_LAG" default:"5s" description:"time that the load balancer needs to detect that this host is stopping"`
	DrainTimeout    time.Duration `long:"drain-timeout" env:"GODWITSPREAD_DRAIN_TIMEOUT" default:"10m" description:"maximum wait for running calls during a planned stop"`
	HeaderTimeout   time.Duration `long:"header-timeout" env:"GODWITSPREAD_HEADER_TIMEOUT" default:"5s" description:"timeout for a caller to send the headers of a request"`
	BodyTimeout     time.Duration `long:"body-timeout" env:"GODWITSPREAD_BODY_TIMEOUT" default:"30s" description:"timeout for a caller to send a whole request"`
	MaxBody         int64         `long:"max-body" env:"GODWITSPREAD_MAX_BODY" default:"1048576" description:"largest request body, in bytes"`
	LogLevel        string        `long:"log-level" env:"GODWITSPREAD_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	LogFormat       string        `long:"log-format" env:"GODWITSPREAD_LOG_FORMAT" default:"auto" description:"text, json, or auto: text on a terminal"`
	Version         bool          `long:"version" description:"print the version and exit"`
}

// Check returns an error for each setting with an invalid value.
func (settings Settings) Check() []error {
	var errs []error
	report := func(flag string, value any, expected string) {
		errs = append(errs, fmt.Errorf("--%s is %q, expected %s", flag, fmt.Sprint(value), expected))
	}
	for flag, name := range map[string]string{"host": settings.Host, "data-centre": settings.DataCentre} {
		if name == "" || strings.ContainsAny(name, ". /=,\t\n") {
			report(flag, name, "a name without dots, slashes, commas, equal signs or blanks")
		}
	}
	addresses := map[string]string{
		"caller-address": settings.CallerAddress, "peer-address": settings.PeerAddress, "metrics-address": settings.MetricsAddress,
	}
	for flag, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			report(flag, address, "an IP number with a port")
		}
	}
	if base, err := url.Parse(settings.PlatformURL); err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		report("platform", settings.PlatformURL, "an http or https URL")
	}
	if _, err := settings.parsePeers(); err != nil {
		errs = append(errs, err)
	}
	if len(settings.PeerSecret) < minSecretLength {
		report("peer-secret", strings.Repeat("*", len(settings.PeerSecret)), fmt.Sprintf("at least %d characters", minSecretLength))
	}
	durations := map[string]time.Duration{
		"platform-timeout": settings.PlatformTimeout, "append-interval": settings.AppendInterval, "merge-interval": settings.MergeInterval,
		"log-retention": settings.LogRetention, "drain-timeout": settings.DrainTimeout,
		"header-timeout": settings.HeaderTimeout, "body-timeout": settings.BodyTimeout,
	}
	for flag, duration := range durations {
		if duration <= 0 {
			report(flag, duration, "a time above zero")
		}
	}
	if settings.MergeHosts < 1 {
		report("merge-hosts", settings.MergeHosts, "a number of hosts above zero")
	}
	if settings.DrainLag < 0 {
		report("drain-lag", settings.DrainLag, "a time of zero or more")
	}
	if settings.MaxBody < 1 {
		report("max-body", settings.MaxBody, "a number of bytes above zero")
	}
	if !oneOf(settings.LogLevel, "debug", "info", "warn", "error") {
		report("log-level", settings.LogLevel, "debug, info, warn or error")
	}
	if !oneOf(settings.LogFormat, "auto", "text", "json") {
		report("log-format", settings.LogFormat, "auto, text or json")
	}
	return errs
}

// minSecretLength is the minimum length of the peer secret in characters.
const minSecretLength = 16

func oneOf(value string, allowed ...string) bool {
	for _, candidate := range allowed {
		if value == candidate {
			return true
		}
	}
	return false
}

// Parse parses the settings from command line arguments and environment variables.
func Parse(arguments []string) (Settings, error) {
	var settings Settings
	parser := flags.NewNamedParser("godwitspreadd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", &settings); err != nil {
		return Settings{}, err
	}
	remaining, err := parser.ParseArgs(arguments)
	if settings.Version {
		return settings, nil
	}
	if err != nil {
		return Settings{}, err
	}
	if len(remaining) > 0 {
		return Settings{}, fmt.Errorf("unexpected argument %q", remaining[0])
	}
	return settings, nil
}
