package check

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	queuePlaces = 24 // of a worker, beside its slots
	eventTokens = 10 // tokens of each event of an engine
)

// run is a request that a worker has run.
type run struct {
	attempt, tenant, path, previous, program string
	body                                     []byte
	at                                       time.Time
}

// worker is a stand-in of a worker: a plain service, or an engine if it has events.
type worker struct {
	id, service, zone, address string
	slots                      int
	events                     int           // of a stream; 0 for a plain service
	work                       time.Duration // of a request, or of each event
	born                       time.Time
	record                     *record

	mutex   sync.Mutex
	runs    []run
	present atomic.Int64 // requests that run or wait
	running atomic.Int64
	free    chan struct{} // a value for each free slot
}

// startWorkers starts workers of a service, one in each zone by turns.
func (deployment *deployment) startWorkers(service string, count, slots, events int, work time.Duration) {
	for number := range count {
		worker := &worker{
			id: fmt.Sprintf("i-%s-%d", service, number+1), service: service, zone: "bkk-" + string(rune('a'+number%3)), slots: slots, events: events,
			work: work, born: time.Now(), record: deployment.record, free: make(chan struct{}, slots),
		}
		for range slots {
			worker.free <- struct{}{}
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			giveUp(deployment.t, err)
		}
		worker.address = listener.Addr().String()
		server := &http.Server{Handler: worker, IdleTimeout: 10 * time.Second}
		go func() {
			// Serve returns an error when the server is closed.
			_ = server.Serve(listener)
		}()
		deployment.t.Cleanup(func() { _ = server.Close() })
		deployment.workers = append(deployment.workers, worker)
		go deployment.renew(worker)
	}
}

// renew writes the entry of a worker to the store at each heartbeat.
func (deployment *deployment) renew(worker *worker) {
	for sequence := 1; deployment.ctx.Err() == nil; sequence++ {
		entry, err := json.Marshal(map[string]any{
			"service": worker.service, "address": worker.address, "zone": worker.zone, "version": "v1", "slots": worker.slots,
			"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": worker.born.UnixMilli(),
		})
		if err == nil && !deployment.down.Load() {
			deployment.store.Put("keyed.servers", worker.id, entry)
		}
		time.Sleep(heartbeat)
	}
}

// ServeHTTP runs a request.
func (worker *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header := writer.Header()
	attempt := request.Header.Get("Godwitspread-Attempt-Id")
	header.Set("Godwitspread-Attempt-Id", attempt)
	if expected := request.Header.Get("Godwitspread-Expect-Instance"); expected != "" && expected != worker.id {
		header.Set("Godwitspread-Instance-Id", worker.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !worker.acquireSlot(request) {
		worker.record.add("worker %s rejects %s, which has not run", worker.id, attempt)
		header.Set("Godwitspread-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer worker.releaseSlot()
	run := run{
		attempt: attempt, tenant: request.Header.Get("Godwitspread-Tenant"), path: request.URL.Path, body: body, at: time.Now(),
		previous: request.Header.Get("Godwitspread-Previous-Turn"), program: request.Header.Get("Godwitspread-Program-Id"),
	}
	worker.mutex.Lock()
	worker.runs = append(worker.runs, run)
	worker.mutex.Unlock()
	running := worker.running.Load()
	worker.record.add("worker %s runs %s of tenant %q", worker.id, attempt, run.tenant)
	header.Set("Godwitspread-Response-Signature", "signed-by-"+worker.id)
	header.Set("Godwitspread-Server-Load", fmt.Sprintf("%d,0,%d", running, worker.slots))
	if worker.events == 0 {
		time.Sleep(worker.work)
		text := "done " + attempt
		header.Set("Content-Length", strconv.Itoa(len(text)))
		// The caller may have closed the connection.
		_, _ = io.WriteString(writer, text)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	controller := http.NewResponseController(writer)
	for number := first; number <= worker.events; number++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(worker.work):
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d of %s\n\n", number, number, attempt); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
}

// acquireSlot waits in the queue for a slot. It fails if the queue is full, or if the
// time limit of the request passes first.
func (worker *worker) acquireSlot(request *http.Request) bool {
	if worker.present.Add(1) > int64(worker.slots+queuePlaces) {
		worker.present.Add(-1)
		return false
	}
	limit, err := strconv.Atoi(request.Header.Get("Godwitspread-Deadline-Ms"))
	if err != nil {
		limit = 0
	}
	select {
	case <-worker.free:
		worker.running.Add(1)
		return true
	case <-time.After(time.Duration(limit) * time.Millisecond):
	case <-request.Context().Done():
	}
	worker.present.Add(-1)
	return false
}

// releaseSlot ends a request that has run.
func (worker *worker) releaseSlot() {
	worker.running.Add(-1)
	worker.present.Add(-1)
	worker.free <- struct{}{}
}

// runs returns what all workers have run.
func (deployment *deployment) runs() []run {
	var runs []run
	for _, worker := range deployment.workers {
		worker.mutex.Lock()
		runs = append(runs, worker.runs...)
		worker.mutex.Unlock()
	}
	return runs
}
