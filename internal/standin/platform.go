package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/platform"
)

// Platform serves a log and a host list over HTTP. Changes become visible in the
// host list after a lag.
type Platform struct {
	log     *Log
	listLag time.Duration

	mutex   sync.Mutex
	hosts   []platform.Host
	visible []platform.Host
}

// NewPlatform returns a platform whose host list lags by a duration.
func NewPlatform(log *Log, lag time.Duration) *Platform {
	return &Platform{log: log, listLag: lag, visible: []platform.Host{}}
}

// SetHosts replaces the hosts. The host list shows the change after the lag.
func (server *Platform) SetHosts(hosts []platform.Host) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.hosts = append([]platform.Host{}, hosts...)
	if server.listLag <= 0 {
		server.visible = server.hosts
		return
	}
	server.log.clock.AfterFunc(server.listLag, func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		server.visible = server.hosts
	})
}

// Handler returns the HTTP handler of the platform.
func (server *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", server.appendToStream)
	mux.HandleFunc("GET /streams/{stream}", server.readStream)
	mux.HandleFunc("GET /hosts", server.listHosts)
	mux.HandleFunc("PUT /hosts", server.replaceHosts)
	mux.HandleFunc("PUT /faults", server.replaceFaults)
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, server.log.Counts()) })
	return mux
}

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

func (server *Platform) appendToStream(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := server.log.Append(request.Context(), request.PathValue("stream"), data)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, map[string]int64{"offset": offset})
}

func (server *Platform) readStream(writer http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseInt(request.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(writer, "from is not an offset", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(request.FormValue("wait_ms"), 10, 64)
	if err != nil {
		http.Error(writer, "wait_ms is not a number", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(request.FormValue("limit"))
	if err != nil {
		http.Error(writer, "limit is not a number", http.StatusBadRequest)
		return
	}
	page, err := server.log.Read(request.Context(), request.PathValue("stream"), from, limit, time.Duration(wait)*time.Millisecond)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(writer, page)
}

func (server *Platform) listHosts(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	writeJSON(writer, server.visible)
}

func (server *Platform) replaceHosts(writer http.ResponseWriter, request *http.Request) {
	var hosts []platform.Host
	if err := json.NewDecoder(request.Body).Decode(&hosts); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.SetHosts(hosts)
	writeJSON(writer, struct{}{})
}

func (server *Platform) replaceFaults(writer http.ResponseWriter, request *http.Request) {
	var faults LogFaults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	server.log.SetFaults(faults)
	writeJSON(writer, faults)
}

// writeJSON writes a value as a JSON response.
func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected; it retries the request.
	_ = json.NewEncoder(writer).Encode(value)
}
