package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// ServiceFault is a fault that a plain service injects into one call.
type ServiceFault string

// Faults of a plain service.
const (
	ServiceHang     ServiceFault = "hang"  // runs the call and never responds
	ServiceCrash    ServiceFault = "crash" // runs the call and drops the connection
	ServiceTruncate ServiceFault = "short" // runs the call and truncates the response
	ServiceDrop     ServiceFault = "deny"  // drops the connection without running the call
)

// Service simulates a plain service and counts how often it ran each call.
type Service struct {
	mutex     sync.Mutex
	delay     time.Duration
	faults    []ServiceFault
	runs      map[string]int
	callOrder []string
	headers   []http.Header
}

// CallHeader is the header that identifies the call to a plain service. HTTP
// libraries attach no meaning to its name.
const CallHeader = "X-Godwitspread-Call"

// NewService returns a service that delays each response.
func NewService(delay time.Duration) *Service {
	return &Service{delay: delay, runs: make(map[string]int)}
}

// Fail queues faults for the next calls, one fault per call.
func (service *Service) Fail(faults ...ServiceFault) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.faults = append(service.faults, faults...)
}

// Runs returns the number of runs by call.
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

// ServeHTTP runs a call. GET /runs returns the number of runs by call, and
// PUT /faults/{fault} queues a fault.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == "/runs" {
		writeJSON(writer, service.Runs())
		return
	}
	if request.Method == http.MethodPut && strings.HasPrefix(request.URL.Path, "/faults/") {
		service.Fail(ServiceFault(strings.TrimPrefix(request.URL.Path, "/faults/")))
		writeJSON(writer, struct{}{})
		return
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	fault := service.recordCall(request)
	if fault == ServiceDrop {
		dropConnection(writer)
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
		dropConnection(writer)
	case ServiceTruncate:
		writer.Header().Set("Content-Length", "1000")
		_, _ = writer.Write([]byte(`{"done":`))
		dropConnection(writer)
	default:
		writeJSON(writer, map[string]any{"done": true, "echo": string(body)})
	}
}

// recordCall records the request and returns the next queued fault, if any. The
// call counts as run unless the fault prevents it.
func (service *Service) recordCall(request *http.Request) ServiceFault {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.headers = append(service.headers, request.Header.Clone())
	var fault ServiceFault
	if len(service.faults) > 0 {
		fault, service.faults = service.faults[0], service.faults[1:]
	}
	if fault != ServiceDrop {
		call := request.Header.Get(CallHeader)
		service.runs[call]++
		service.callOrder = append(service.callOrder, call)
	}
	return fault
}

// dropConnection closes the connection without a response.
func dropConnection(writer http.ResponseWriter) {
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		return
	}
	if connection, _, err := hijacker.Hijack(); err == nil {
		connection.Close()
	}
}
