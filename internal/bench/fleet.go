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

// fleet is a set of daemons as processes, with stand-ins in this process.
type fleet struct {
	binary   string
	log      *standin.Log
	platform *standin.Platform
	address  string // of the platform
	hosts    []*hostProcess
	servers  []*http.Server
	output   *os.File
}

// hostProcess is one daemon.
type hostProcess struct {
	name       string
	dataCentre string
	ip         string
	process    *exec.Cmd
	exited     chan struct{}
}

const (
	callerPort  = 8080
	peerPort    = 8081
	metricsPort = 8082
	fleetSecret = "demonstration-secret-of-the-fleet"
)

func (host *hostProcess) callers() string   { return fmt.Sprintf("http://%s:%d", host.ip, callerPort) }
func (host *hostProcess) operators() string { return fmt.Sprintf("%s:%d", host.ip, metricsPort) }

// newFleet starts the platform's stand-in. The daemon's binary stands beside
// the running one.
func newFleet(platformAddress, outputPath string) (*fleet, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	output, err := os.Create(outputPath)
	if err != nil {
		return nil, err
	}
	log := standin.NewLog(clockwork.NewRealClock(), randomFrom(1), 24*time.Hour, 500)
	fleet := &fleet{
		binary: filepath.Join(filepath.Dir(own), "godwitspreadd"), log: log,
		platform: standin.NewPlatform(log, time.Second), address: platformAddress, output: output,
	}
	return fleet, fleet.serve(platformAddress, fleet.platform.Handler())
}

// serve runs a stand-in in this process.
func (fleet *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	fleet.servers = append(fleet.servers, server)
	go func() {
		// The error says that the server was closed.
		_ = server.Serve(listener)
	}()
	return nil
}

// add starts a daemon.
func (fleet *fleet) add(name, dataCentre, ip string) (*hostProcess, error) {
	host := &hostProcess{name: name, dataCentre: dataCentre, ip: ip, exited: make(chan struct{})}
	host.process = exec.Command(fleet.binary,
		"--host", name, "--data-centre", dataCentre, "--platform", "http://"+fleet.address,
		"--caller-address", fmt.Sprintf("%s:%d", ip, callerPort), "--peer-address", fmt.Sprintf("%s:%d", ip, peerPort),
		"--metrics-address", host.operators(), "--peer-secret", fleetSecret, "--drain-lag", "500ms", "--drain-timeout", "20s",
	)
	host.process.Stdout, host.process.Stderr = fleet.output, fleet.output
	if err := host.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		// The exit code of a killed host does not matter.
		_ = host.process.Wait()
		close(host.exited)
	}()
	fleet.hosts = append(fleet.hosts, host)
	fleet.list()
	return host, nil
}

// list tells the platform which hosts run.
func (fleet *fleet) list() {
	var hosts []platform.Host
	for _, host := range fleet.hosts {
		hosts = append(hosts, platform.Host{
			Name: host.name, DataCentre: host.dataCentre,
			Address: fmt.Sprintf("%s:%d", host.ip, peerPort), State: platform.HostLive,
		})
	}
	fleet.platform.SetHosts(hosts)
}

// ready waits until every host takes callers and every slot has an owner.
func (fleet *fleet) ready(ctx context.Context) error {
	for _, host := range fleet.hosts {
		for !answersOK(ctx, host.callers()+"/readyz") {
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

func answersOK(ctx context.Context, address string) bool {
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

// kill ends a host at once, as a failure does.
func (fleet *fleet) kill(host *hostProcess) error {
	if err := host.process.Process.Kill(); err != nil {
		return err
	}
	<-host.exited
	return nil
}

// close ends every process and stand-in.
func (fleet *fleet) close() {
	for _, host := range fleet.hosts {
		// Hosts that have exited already cannot be killed again.
		_ = host.process.Process.Kill()
		<-host.exited
	}
	for _, server := range fleet.servers {
		server.Close()
	}
	fleet.output.Close()
}
