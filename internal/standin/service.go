package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ServiceFault is how a plain service misbehaves on its next calls.
type ServiceFault string

// Faults of a plain service.
const (
	ServiceHang  ServiceFault = "hang"  // runs the call and never answers
	ServiceCrash ServiceFault = "crash" // runs the call and drops the connection
	ServiceShort ServiceFault = "short" // cuts its answer short
	ServiceDeny  ServiceFault = "deny"  // drops the connection before running
)

// Service is a plain service that counts how often it ran each request.
type Service struct {
	mutex   sync.Mutex
	delay   time.Duration
	faults  []ServiceFault
	runs    map[string]int
	order   []string
	headers []http.Header
}

// CallHeader carries the identifier of a call to a plain service. The name is
// not one that HTTP libraries act on.
const CallHeader = "X-Godwitspread-Call"

// NewService returns a service that takes some time for each call.
func NewService(delay time.Duration) *Service {
	return &Service{delay: delay, runs: make(map[string]int)}
}

// Fail queues faults for the next calls, one each.
func (service *Service) Fail(faults ...ServiceFault) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.faults = append(service.faults, faults...)
}

// Runs returns how often each call ran.
func (service *Service) Runs() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	runs := make(map[string]int, len(service.runs))
	for call, count := range service.runs {
		runs[call] = count
	}
	return runs
}

// Headers returns the headers of every request received.
func (service *Service) Headers() []http.Header {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return append([]http.Header{}, service.headers...)
}

// ServeHTTP runs a call, or reports the runs at GET /runs.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == "/runs" {
		answer(writer, service.Runs())
		return
	}
	if request.Method == http.MethodPut && strings.HasPrefix(request.URL.Path, "/faults/") {
		service.Fail(ServiceFault(strings.TrimPrefix(request.URL.Path, "/faults/")))
		answer(writer, struct{}{})
		return
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxAppend))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	fault := service.run(request)
	if fault == ServiceDeny {
		drop(writer)
		return
	}
	select {
	case <-time.After(service.delay):
	case <-request.Context().Done():
	}
	switch fault {
	case ServiceHang:
		<-request.Context().Done()
	case ServiceCrash:
		drop(writer)
	case ServiceShort:
		writer.Header().Set("Content-Length", "1000")
		_, _ = writer.Write([]byte(`{"done":`))
		drop(writer)
	default:
		answer(writer, map[string]any{"done": true, "echo": string(body)})
	}
}

// run counts the call and returns the fault that is due.
func (service *Service) run(request *http.Request) ServiceFault {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.headers = append(service.headers, request.Header.Clone())
	var fault ServiceFault
	if len(service.faults) > 0 {
		fault, service.faults = service.faults[0], service.faults[1:]
	}
	if fault != ServiceDeny {
		call := request.Header.Get(CallHeader)
		service.runs[call]++
		service.order = append(service.order, call)
	}
	return fault
}

// drop ends the connection without an answer.
func drop(writer http.ResponseWriter) {
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		return
	}
	if socket, _, err := hijacker.Hijack(); err == nil {
		socket.Close()
	}
}
