package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/godwitspread/godwitspread/internal/platform"
	"github.com/godwitspread/godwitspread/internal/standin"
)

// fleet runs daemons as child processes and their stand-ins in this process.
type fleet struct {
	binary          string
	log             *standin.Log
	platform        *standin.Platform
	platformAddress string
	hosts           []*hostProcess
	servers         []*http.Server
	output          *os.File
}

// hostProcess is a daemon that runs as a child process.
type hostProcess struct {
	name       string
	dataCentre string
	ip         string
	command    *exec.Cmd
	exited     chan struct{}
}

const (
	callerPort  = 8080
	peerPort    = 8081
	metricsPort = 8082
	fleetSecret = "demonstration-secret-of-the-fleet"
)

func (host *hostProcess) callerURL() string { return fmt.Sprintf("http://%s:%d", host.ip, callerPort) }

// operatorAddress returns the address that serves metrics and the status for operators.
func (host *hostProcess) operatorAddress() string { return fmt.Sprintf("%s:%d", host.ip, metricsPort) }

// newFleet creates the file for the daemons' logs and starts the stand-in of the
// platform. It expects the binary of the daemon in the directory of the running
// binary.
func newFleet(platformAddress, outputPath string) (*fleet, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	output, err := os.Create(outputPath)
	if err != nil {
		return nil, err
	}
	log := standin.NewLog(clockwork.NewRealClock(), newLockedRandom(1), 24*time.Hour, 500)
	fleet := &fleet{
		binary: filepath.Join(filepath.Dir(executable), "godwitspreadd"), log: log,
		platform: standin.NewPlatform(log, time.Second), platformAddress: platformAddress, output: output,
	}
	return fleet, fleet.startServer(platformAddress, fleet.platform.Handler())
}

// startServer serves a stand-in on an address in the background.
func (fleet *fleet) startServer(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	fleet.servers = append(fleet.servers, server)
	go func() {
		// Serve returns http.ErrServerClosed after close.
		_ = server.Serve(listener)
	}()
	return nil
}

// startHost starts a daemon and adds it to the platform's host list.
func (fleet *fleet) startHost(name, dataCentre, ip string) (*hostProcess, error) {
	host := &hostProcess{name: name, dataCentre: dataCentre, ip: ip, exited: make(chan struct{})}
	host.command = exec.Command(fleet.binary,
		"--host", name, "--data-centre", dataCentre, "--platform", "http://"+fleet.platformAddress,
		"--caller-address", fmt.Sprintf("%s:%d", ip, callerPort), "--peer-address", fmt.Sprintf("%s:%d", ip, peerPort),
		"--metrics-address", host.operatorAddress(), "--peer-secret", fleetSecret, "--drain-lag", "500ms", "--drain-timeout", "20s",
	)
	host.command.Stdout, host.command.Stderr = fleet.output, fleet.output
	if err := host.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		// A killed process always exits with an error.
		_ = host.command.Wait()
		close(host.exited)
	}()
	fleet.hosts = append(fleet.hosts, host)
	fleet.updateHostList()
	return host, nil
}

// updateHostList publishes the started hosts in the platform's host list.
func (fleet *fleet) updateHostList() {
	var hosts []platform.Host
	for _, host := range fleet.hosts {
		hosts = append(hosts, platform.Host{
			Name: host.name, DataCentre: host.dataCentre,
			Address: fmt.Sprintf("%s:%d", host.ip, peerPort), State: platform.HostLive,
		})
	}
	fleet.platform.SetHosts(hosts)
}

// waitUntilReady waits until every host is ready for callers, which means that it has
// read the configuration and the ledger.
func (fleet *fleet) waitUntilReady(ctx context.Context) error {
	for _, host := range fleet.hosts {
		for !respondsOK(ctx, host.callerURL()+"/readyz") {
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %w", host.name, ctx.Err())
			case <-host.exited:
				return fmt.Errorf("host %s has exited, see %s", host.name, fleet.output.Name())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func respondsOK(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill terminates a host without a shutdown, which simulates a crash.
func (fleet *fleet) kill(host *hostProcess) error {
	if err := host.command.Process.Kill(); err != nil {
		return err
	}
	<-host.exited
	return nil
}

// close stops every daemon and stand-in.
func (fleet *fleet) close() {
	for _, host := range fleet.hosts {
		// Kill returns an error for a process that has already exited.
		_ = host.command.Process.Kill()
		<-host.exited
	}
	for _, server := range fleet.servers {
		server.Close()
	}
	fleet.output.Close()
}
