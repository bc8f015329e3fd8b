package dispatch_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/godwitspread/godwitspread/internal/configuration"
	"github.com/godwitspread/godwitspread/internal/dispatch"
	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/metric"
	"github.com/godwitspread/godwitspread/internal/program"
	"github.com/godwitspread/godwitspread/internal/refusal"
	"github.com/godwitspread/godwitspread/internal/standin"
	"github.com/godwitspread/godwitspread/internal/target"
)

// fakeQueues grants permits for its addresses in turn and records the reports.
type fakeQueues struct {
	mutex     sync.Mutex
	addresses []string
	reports   []target.Report
	down      string
}

func (queues *fakeQueues) Acquire(context.Context, dispatch.PermitRequest) (dispatch.Permit, func(target.Report), error) {
	queues.mutex.Lock()
	defer queues.mutex.Unlock()
	address := queues.addresses[0]
	if len(queues.addresses) > 1 {
		queues.addresses = queues.addresses[1:]
	}
	return dispatch.Permit{Target: address}, func(report target.Report) {
		queues.mutex.Lock()
		defer queues.mutex.Unlock()
		queues.reports = append(queues.reports, report)
	}, nil
}

func (queues *fakeQueues) Down(service string) bool { return service == queues.down }

func (*fakeQueues) Release(context.Context, string) []string { return nil }

func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func newDispatcher(queues *fakeQueues) *dispatch.Dispatcher {
	dispatcher := dispatch.NewDispatcher(clockwork.NewRealClock(), metric.Discard(), queues, 1)
	dispatcher.SetText(&configuration.Text{Services: []configuration.Service{
		{Name: "draft", Kind: "engine", Repeatable: true, FirstByteTimeout: 2 * time.Second, TokenTimeout: 300 * time.Millisecond},
		{Name: "filing", Kind: "plain", Timeout: 300 * time.Millisecond, TokenTimeout: 300 * time.Millisecond},
		{Name: "invoice", Kind: "plain", Timeout: time.Second, DependsOn: []string{"filing"}},
		{Name: "stock", Kind: "plain", Repeatable: true, Timeout: 300 * time.Millisecond, TokenTimeout: 300 * time.Millisecond},
	}})
	return dispatcher
}

func plainCall(service string, repeatable bool) program.Dispatch {
	return program.Dispatch{
		Program: "p", Call: "c", Attempt: "a", Service: service, Kind: program.KindPlain, Repeatable: repeatable,
		Input: "{}", Deadline: time.Now().Add(20 * time.Second),
	}
}

// TestPlainFaults guards against running a call twice on a plain service because
// a call that isn't repeatable is retried after a failure, and against reporting
// to the caller that it didn't run when it may have.
func TestPlainFaults(t *testing.T) {
	tests := []struct {
		name       string
		service    string
		repeatable bool
		faults     []standin.ServiceFault
		closed     bool // the first target refuses connections
		run        refusal.RunState
		succeeds   bool
		runs       int
	}{
		{"a successful call runs once", "filing", false, nil, false, "", true, 1},
		{"a call is retried after a refused connection", "filing", false, nil, true, "", true, 1},
		{"a call that crashed its target may have run", "filing", false, []standin.ServiceFault{standin.ServiceCrash}, false, refusal.RunUnknown, false, 1},
		{"a call with a truncated response may have run", "filing", false, []standin.ServiceFault{standin.ServiceTruncate}, false, refusal.RunUnknown, false, 1},
		{"a call that timed out may have run", "filing", false, []standin.ServiceFault{standin.ServiceHang}, false, refusal.RunUnknown, false, 1},
		{"a call that was dropped before it ran may have run", "filing", false, []standin.ServiceFault{standin.ServiceDrop}, false, refusal.RunUnknown, false, 0},
		{"a repeatable call is retried after a crash", "stock", true, []standin.ServiceFault{standin.ServiceCrash, standin.ServiceTruncate}, false, "", true, 3},
		{"a repeatable call is retried after a refused connection", "stock", true, nil, true, "", true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			service := standin.NewService(0)
			service.Fail(test.faults...)
			server := httptest.NewServer(service)
			defer server.Close()
			defer server.CloseClientConnections()
			queues := &fakeQueues{addresses: []string{address(server)}}
			if test.closed {
				queues.addresses = []string{closedAddress(t), address(server)}
			}
			result := newDispatcher(queues).Run(context.Background(), plainCall(test.service, test.repeatable), func(string) {})
			is.Equal(result.Refusal == nil, test.succeeds)
			if result.Refusal != nil {
				is.Equal(result.Refusal.Run, test.run)
			}
			is.Equal(service.Runs()["p/c"], test.runs)
		})
	}
}

// TestDependencies guards against running a call of a service that can't succeed
// because a service on which it depends is down.
func TestDependencies(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(0)
	server := httptest.NewServer(service)
	defer server.Close()
	queues := &fakeQueues{addresses: []string{address(server)}, down: "filing"}
	result := newDispatcher(queues).Run(context.Background(), plainCall("invoice", false), func(string) {})
	is.Equal(result.Refusal.Code, refusal.DependencyUnavailable)
	is.Equal(result.Refusal.Run, refusal.NotRun)
	is.Equal(len(service.Runs()), 0)
	queues.down = "unrelated"
	result = newDispatcher(queues).Run(context.Background(), plainCall("invoice", false), func(string) {})
	is.True(result.Refusal == nil)
}

// TestNoReplay guards against the HTTP library sending a call twice that isn't
// repeatable, because of a redirect or a reused connection, and against passing
// headers of the caller to the target.
func TestNoReplay(t *testing.T) {
	is := is.New(t)
	var requests []http.Header
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requests = append(requests, request.Header.Clone())
		http.Redirect(writer, request, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	result := newDispatcher(&fakeQueues{addresses: []string{address(server)}}).Run(context.Background(), plainCall("filing", false), func(string) {})
	is.True(result.Refusal == nil)
	is.Equal(result.Status, http.StatusTemporaryRedirect) // the redirect is returned, not followed
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Get("Idempotency-Key"), "")
	is.Equal(requests[0].Get("Authorization"), "")
}

// TestStreamIsResumed guards against output that is lost or repeated when a
// stream breaks off, the engine stops sending, or the engine has lost the stream
// and the call is retried on another one.
func TestStreamIsResumed(t *testing.T) {
	for _, fault := range []string{"the stream breaks off", "the engine stops sending", "the engine has lost the stream"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			engine := standin.NewEngine(standin.EngineSettings{Slots: 4, CacheTokens: 1000, TokenInterval: 5 * time.Millisecond})
			handler := engine.Handler()
			first := true
			broken := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Method != http.MethodPost || !first {
					if fault == "the engine has lost the stream" {
						http.Error(writer, "restarted", http.StatusNotFound)
						return
					}
					handler.ServeHTTP(writer, request)
					return
				}
				first = false
				ctx, cancel := context.WithTimeout(request.Context(), 30*time.Millisecond)
				defer cancel()
				handler.ServeHTTP(writer, request.WithContext(ctx))
				if fault == "the engine stops sending" {
					<-request.Context().Done()
				}
			}))
			defer broken.Close()
			whole := httptest.NewServer(handler)
			defer whole.Close()
			call := program.Dispatch{
				Program: "p", Call: "c", Attempt: "a", Service: "draft", Kind: program.KindEngine, Repeatable: true,
				History: []ledger.Entry{{Input: "before", Output: "answer"}}, Input: "now", MaxTokens: 64,
				Deadline: time.Now().Add(20 * time.Second),
			}
			var streamed strings.Builder
			result := newDispatcher(&fakeQueues{addresses: []string{address(broken), address(whole)}}).
				Run(context.Background(), call, func(text string) { streamed.WriteString(text) })
			is.True(result.Refusal == nil)
			is.Equal(result.Output, standin.Completion("before\nanswer\nnow\n", 64))
			is.Equal(streamed.String(), result.Output)
		})
	}
}
