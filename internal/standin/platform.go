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

// Platform serves a log and a lagging host list over HTTP.
type Platform struct {
	log *Log
	lag time.Duration

	mutex  sync.Mutex
	hosts  []platform.Host
	listed []platform.Host
}

// NewPlatform returns a platform whose list of hosts lags by a duration.
func NewPlatform(log *Log, lag time.Duration) *Platform {
	return &Platform{log: log, lag: lag, listed: []platform.Host{}}
}

// SetHosts changes the hosts. The list follows after the lag.
func (stand *Platform) SetHosts(hosts []platform.Host) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	stand.hosts = append([]platform.Host{}, hosts...)
	if stand.lag <= 0 {
		stand.listed = stand.hosts
		return
	}
	stand.log.clock.AfterFunc(stand.lag, func() {
		stand.mutex.Lock()
		defer stand.mutex.Unlock()
		stand.listed = stand.hosts
	})
}

// Handler returns the HTTP interface.
func (stand *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", stand.append)
	mux.HandleFunc("GET /streams/{stream}", stand.read)
	mux.HandleFunc("GET /hosts", stand.list)
	mux.HandleFunc("PUT /hosts", stand.replace)
	mux.HandleFunc("PUT /faults", stand.fault)
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, _ *http.Request) { answer(writer, stand.log.Counts()) })
	return mux
}

// maxAppend bounds one append, in bytes.
const maxAppend = 16 << 20

func (stand *Platform) append(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxAppend))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := stand.log.Append(request.Context(), request.PathValue("stream"), data)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer(writer, map[string]int64{"offset": offset})
}

func (stand *Platform) read(writer http.ResponseWriter, request *http.Request) {
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
	page, err := stand.log.Read(request.Context(), request.PathValue("stream"), from, limit, time.Duration(wait)*time.Millisecond)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer(writer, page)
}

func (stand *Platform) list(writer http.ResponseWriter, _ *http.Request) {
	stand.mutex.Lock()
	defer stand.mutex.Unlock()
	answer(writer, stand.listed)
}

func (stand *Platform) replace(writer http.ResponseWriter, request *http.Request) {
	var hosts []platform.Host
	if err := json.NewDecoder(request.Body).Decode(&hosts); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	stand.SetHosts(hosts)
	answer(writer, struct{}{})
}

func (stand *Platform) fault(writer http.ResponseWriter, request *http.Request) {
	var faults LogFaults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	stand.log.SetFaults(faults)
	answer(writer, faults)
}

// answer writes a JSON document.
func answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// The client may have gone; it will ask again.
	_ = json.NewEncoder(writer).Encode(value)
}
