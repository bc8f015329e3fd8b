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

// queues grants the addresses in turn and keeps the reports.
type queues struct {
	mutex     sync.Mutex
	addresses []string
	reports   []target.Report
	down      string
}

func (queues *queues) Acquire(context.Context, dispatch.PermitRequest) (dispatch.Permit, func(target.Report), error) {
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

func (queues *queues) Down(service string) bool { return service == queues.down }

func (*queues) Release(context.Context, string) []string { return nil }

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

func newDispatcher(queues *queues) *dispatch.Dispatcher {
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

// TestPlainFaults checks what is repeated, and what callers are told.
func TestPlainFaults(t *testing.T) {
	tests := []struct {
		name       string
		service    string
		repeatable bool
		faults     []standin.ServiceFault
		closed     bool // the first target refuses connections
		run        refusal.Run
		answered   bool
		runs       int
	}{
		{"answers", "filing", false, nil, false, "", true, 1},
		{"refused connection is tried elsewhere", "filing", false, nil, true, "", true, 1},
		{"crash may have run", "filing", false, []standin.ServiceFault{standin.ServiceCrash}, false, refusal.Unknown, false, 1},
		{"short answer may have run", "filing", false, []standin.ServiceFault{standin.ServiceShort}, false, refusal.Unknown, false, 1},
		{"hang may have run", "filing", false, []standin.ServiceFault{standin.ServiceHang}, false, refusal.Unknown, false, 1},
		{"dropped before running is not known to be", "filing", false, []standin.ServiceFault{standin.ServiceDeny}, false, refusal.Unknown, false, 0},
		{"repeatable crash is repeated", "stock", true, []standin.ServiceFault{standin.ServiceCrash, standin.ServiceShort}, false, "", true, 3},
		{"repeatable refusal is repeated", "stock", true, nil, true, "", true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			service := standin.NewService(0)
			service.Fail(test.faults...)
			server := httptest.NewServer(service)
			defer server.Close()
			defer server.CloseClientConnections()
			queues := &queues{addresses: []string{address(server)}}
			if test.closed {
				queues.addresses = []string{closedAddress(t), address(server)}
			}
			answered := newDispatcher(queues).Run(context.Background(), plainCall(test.service, test.repeatable), func(string) {})
			is.Equal(answered.Refusal == nil, test.answered)
			if answered.Refusal != nil {
				is.Equal(answered.Refusal.Run, test.run)
			}
			is.Equal(service.Runs()["p/c"], test.runs)
		})
	}
}

// TestDependencies refuses calls of services that depend on one that is down,
// also through others, before anything runs.
func TestDependencies(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(0)
	server := httptest.NewServer(service)
	defer server.Close()
	queues := &queues{addresses: []string{address(server)}, down: "filing"}
	answered := newDispatcher(queues).Run(context.Background(), plainCall("invoice", false), func(string) {})
	is.Equal(answered.Refusal.Code, refusal.DependencyUnavailable)
	is.Equal(answered.Refusal.Run, refusal.NotRun)
	is.Equal(len(service.Runs()), 0)
	queues.down = "unrelated"
	answered = newDispatcher(queues).Run(context.Background(), plainCall("invoice", false), func(string) {})
	is.True(answered.Refusal == nil)
}

// TestNoReplay checks that neither a redirect nor a reused connection makes
// the library send a non-idempotent call again, and that no caller's header
// gets through.
func TestNoReplay(t *testing.T) {
	is := is.New(t)
	var requests []http.Header
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requests = append(requests, request.Header.Clone())
		http.Redirect(writer, request, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	answered := newDispatcher(&queues{addresses: []string{address(server)}}).Run(context.Background(), plainCall("filing", false), func(string) {})
	is.True(answered.Refusal == nil)
	is.Equal(answered.Status, http.StatusTemporaryRedirect) // passed on, not followed
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Get("Idempotency-Key"), "")
	is.Equal(requests[0].Get("Authorization"), "")
}

// TestStreamIsResumed cuts a stream and lets the engine fall silent. The text
// is whole and nothing in it is doubled.
func TestStreamIsResumed(t *testing.T) {
	for _, fault := range []string{"cut", "silent", "gone"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			engine := standin.NewEngine(standin.EngineSettings{Slots: 4, CacheTokens: 1000, Step: 5 * time.Millisecond})
			handler := engine.Handler()
			first := true
			broken := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Method != http.MethodPost || !first {
					if fault == "gone" {
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
				if fault == "silent" {
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
			answered := newDispatcher(&queues{addresses: []string{address(broken), address(whole)}}).
				Run(context.Background(), call, func(text string) { streamed.WriteString(text) })
			is.True(answered.Refusal == nil)
			is.Equal(answered.Output, standin.Completion("before\nanswer\nnow\n", 64))
			is.Equal(streamed.String(), answered.Output)
		})
	}
}
