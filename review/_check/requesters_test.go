package check

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	siteHost       = "desk.example"
	defaultLimit   = 3 * time.Second
	responseMargin = time.Second // after the time limit, until a requester closes the connection
)

// attempts numbers the requester attempts of the case.
var attempts atomic.Int64

// sent is a request of a requester.
type sent struct {
	method, path, key, body string
	program, previous       string
	budget, tokens          int // of the program, and at most of this turn
	programLeft, limit      time.Duration
	attempt                 string // set by send
	sentAt, answeredAt      time.Time
	status                  int
	retryAfter              time.Duration
	answer                  []byte
	complete                bool
	err                     error
	host                    *host
}

// send sends a request to a host over a new connection and waits for the answer.
func (deployment *deployment) send(host *host, request sent) sent {
	request.host = host
	request.attempt = fmt.Sprintf("%016x", attempts.Add(1))
	if request.method == "" {
		request.method = http.MethodPost
	}
	if request.limit == 0 {
		request.limit = defaultLimit
	}
	ctx, cancel := context.WithTimeout(deployment.ctx, request.limit+responseMargin)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, request.method, "http://"+host.front()+request.path, bytes.NewReader([]byte(request.body)))
	if err != nil {
		request.err = err
		return request
	}
	message.Host = siteHost
	set := func(name, value string) {
		if value != "" {
			message.Header.Set(name, value)
		}
	}
	set("Godwitspread-Attempt-Id", request.attempt)
	set("Godwitspread-Deadline-Ms", strconv.FormatInt(request.limit.Milliseconds(), 10))
	set("Godwitspread-Program-Id", request.program)
	set("Godwitspread-Session-Id", request.program)
	set("Godwitspread-Previous-Turn", request.previous)
	if request.key != "" {
		set("Authorization", "Bearer "+request.key)
	}
	if request.budget > 0 {
		set("Godwitspread-Token-Budget", strconv.Itoa(request.budget))
		set("Godwitspread-Token-Count", fmt.Sprintf("100,%d", request.tokens))
	}
	if request.programLeft > 0 {
		set("Godwitspread-Program-Deadline-Ms", strconv.FormatInt(request.programLeft.Milliseconds(), 10))
	}
	request.sentAt = time.Now()
	deployment.record.add("sent %s %s %s to %s, key %s, program %q, previous %q", request.attempt, request.method, request.path, host.name, request.key, request.program, request.previous)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(message)
	if err == nil {
		request.status = response.StatusCode
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			request.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		request.answer, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	request.complete, request.err = err == nil, err
	request.answeredAt = time.Now()
	text := ""
	if request.status != http.StatusOK {
		text = string(request.answer)
	}
	deployment.record.add("answered %s: status %d, complete %v, error %v %s", request.attempt, request.status, request.complete, request.err, text)
	return request
}

// served reports whether the requester got a whole successful answer.
func (request sent) served() bool { return request.complete && request.status == http.StatusOK }

// tenantRecord is a tenant of the configuration.
type tenantRecord struct {
	Name  string   `json:"name"`
	Keys  []string `json:"keys"`
	Rate  float64  `json:"ratePerS"`
	Burst float64  `json:"burst"`
}

// configuration returns the operator's configuration, with a route of each kind.
func configuration(version int, tenants []tenantRecord) []byte {
	route := func(name, kind, service string, extra map[string]any) map[string]any {
		fields := map[string]any{
			"name": name, "host": siteHost, "pathPrefix": "/" + name + "/", "kind": kind, "service": service, "timeoutMs": 3000, "targetLatencyMs": 250,
			"targetGapMs": 150, "priority": 1, "attempts": 2,
		}
		for name, value := range extra {
			fields[name] = value
		}
		return fields
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("lookup", "safe", "records", nil),
			route("filing", "unsafe", "records", map[string]any{"attempts": 1, "timeoutMs": 6000, "targetLatencyMs": 800}),
			route("summary", "streaming", "models", map[string]any{"resumable": true, "retentionS": 60, "sticky": true}),
			route("dialogue", "streaming", "models", map[string]any{"retainContext": true, "retentionS": 60, "sticky": true}),
		},
		"services": []any{
			map[string]any{"name": "records", "healthPath": "/health", "connectionLimit": 400},
			map[string]any{"name": "models", "healthPath": "/health", "connectionLimit": 400, "engine": map[string]any{"slots": 8, "cacheTokens": 97383, "eventTokens": eventTokens}},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	if err != nil {
		panic(err)
	}
	return text
}
