// Package daemon wires the parts of an entry host together.
package daemon

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// Settings is the table of a daemon's settings: default, flag and variable of
// each stand side by side.
type Settings struct {
	Host           string        `long:"host" env:"GODWITSPREAD_HOST" required:"true" description:"name of this host, unique in the fleet"`
	DataCentre     string        `long:"data-centre" env:"GODWITSPREAD_DATA_CENTRE" required:"true" description:"data centre of this host"`
	CallerAddress  string        `long:"caller-address" env:"GODWITSPREAD_CALLER_ADDRESS" default:"127.0.0.1:8080" description:"IP number and port for callers"`
	PeerAddress    string        `long:"peer-address" env:"GODWITSPREAD_PEER_ADDRESS" default:"127.0.0.1:8081" description:"IP number and port for other hosts"`
	MetricsAddress string        `long:"metrics-address" env:"GODWITSPREAD_METRICS_ADDRESS" default:"127.0.0.1:8082" description:"IP number and port for operators: metrics, health and status"`
	PeerSecret     string        `long:"peer-secret" env:"GODWITSPREAD_PEER_SECRET" required:"true" description:"secret that all hosts share"`
	Platform       string        `long:"platform" env:"GODWITSPREAD_PLATFORM" required:"true" description:"URL of the platform's log and host list"`
	PlatformWait   time.Duration `long:"platform-timeout" env:"GODWITSPREAD_PLATFORM_TIMEOUT" default:"2s" description:"bound of one exchange with the platform"`
	Peers          []string      `long:"peer" env:"GODWITSPREAD_PEERS" env-delim:"," description:"further hosts as name=data_centre=address, for a start without the host list"`
	AppendInterval time.Duration `long:"append-interval" env:"GODWITSPREAD_APPEND_INTERVAL" default:"40ms" description:"least time between two appends of this host to one stream"`
	MergeInterval  time.Duration `long:"merge-interval" env:"GODWITSPREAD_MERGE_INTERVAL" default:"100ms" description:"least time between two appends that merge those of many hosts"`
	MergeHosts     int           `long:"merge-hosts" env:"GODWITSPREAD_MERGE_HOSTS" default:"8" description:"live hosts of a data centre from which appends are merged"`
	LogRetention   time.Duration `long:"log-retention" env:"GODWITSPREAD_LOG_RETENTION" default:"24h" description:"how long the platform's log keeps records"`
	DrainLag       time.Duration `long:"drain-lag" env:"GODWITSPREAD_DRAIN_LAG" default:"5s" description:"time that the balancer needs to notice that this host is leaving"`
	DrainTimeout   time.Duration `long:"drain-timeout" env:"GODWITSPREAD_DRAIN_TIMEOUT" default:"10m" description:"longest wait for running calls at a planned stop"`
	HeaderTimeout  time.Duration `long:"header-timeout" env:"GODWITSPREAD_HEADER_TIMEOUT" default:"5s" description:"time for a caller to send its headers"`
	BodyTimeout    time.Duration `long:"body-timeout" env:"GODWITSPREAD_BODY_TIMEOUT" default:"30s" description:"time for a caller to send its request"`
	MaxBody        int64         `long:"max-body" env:"GODWITSPREAD_MAX_BODY" default:"1048576" description:"largest request body, in bytes"`
	LogLevel       string        `long:"log-level" env:"GODWITSPREAD_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	LogFormat      string        `long:"log-format" env:"GODWITSPREAD_LOG_FORMAT" default:"auto" description:"text, json, or auto: text on a terminal"`
	Version        bool          `long:"version" description:"print the version and exit"`
}

// Check reports every setting with a bad value.
func (settings Settings) Check() []error {
	var faults []error
	report := func(flag string, value any, expected string) {
		faults = append(faults, fmt.Errorf("--%s is %q, expected %s", flag, fmt.Sprint(value), expected))
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
	if base, err := url.Parse(settings.Platform); err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		report("platform", settings.Platform, "an http or https URL")
	}
	if _, err := settings.peers(); err != nil {
		faults = append(faults, err)
	}
	if len(settings.PeerSecret) < minSecret {
		report("peer-secret", strings.Repeat("*", len(settings.PeerSecret)), fmt.Sprintf("at least %d characters", minSecret))
	}
	durations := map[string]time.Duration{
		"platform-timeout": settings.PlatformWait, "append-interval": settings.AppendInterval, "merge-interval": settings.MergeInterval,
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
	return faults
}

// minSecret is the shortest peer secret, in characters.
const minSecret = 16

func oneOf(value string, allowed ...string) bool {
	for _, each := range allowed {
		if value == each {
			return true
		}
	}
	return false
}

// Parse reads the settings from arguments and the environment.
func Parse(arguments []string) (Settings, error) {
	var settings Settings
	parser := flags.NewNamedParser("godwitspreadd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", &settings); err != nil {
		return Settings{}, err
	}
	rest, err := parser.ParseArgs(arguments)
	if settings.Version {
		return settings, nil
	}
	if err != nil {
		return Settings{}, err
	}
	if len(rest) > 0 {
		return Settings{}, fmt.Errorf("unexpected argument %q", rest[0])
	}
	return settings, nil
}
