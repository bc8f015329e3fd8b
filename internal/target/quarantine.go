package target

import "time"

// quarantine records the requests that were running when a target crashed.
type quarantine struct {
	crashes map[string]*crashRecord
}

type crashRecord struct {
	count int
	until time.Time
}

const (
	quarantineCrashes = 2 // crashes after which a request is refused
)

// QuarantineTime is how long a request that crashed targets is refused.
const QuarantineTime = 15 * time.Minute

func newQuarantine() *quarantine {
	return &quarantine{crashes: make(map[string]*crashRecord)}
}

// workspaceDigest returns the request's Digest, qualified by its workspace.
func (request *Request) workspaceDigest() string {
	return request.Workspace + "\x00" + request.Digest
}

// suspected reports whether a request was running during an earlier crash.
func (quarantine *quarantine) suspected(request *Request) bool {
	if len(quarantine.crashes) == 0 || request.Digest == "" {
		return false
	}
	_, ok := quarantine.crashes[request.workspaceDigest()]
	return ok
}

// banned reports whether a request is in quarantine.
func (quarantine *quarantine) banned(request *Request) bool {
	if len(quarantine.crashes) == 0 || request.Digest == "" {
		return false
	}
	record, ok := quarantine.crashes[request.workspaceDigest()]
	return ok && record.count >= quarantineCrashes
}

// recordCrash blames the requests that ran on a target when it crashed. If one
// of them is already a suspect, the others are not blamed: admission lets at
// most one suspect run on a target at a time, so the suspect alone explains a
// second crash. Every caller reports the crash; only the first report counts.
func (quarantine *quarantine) recordCrash(now time.Time, reporter *Request, running map[uint64]*Request) {
	if reporter.crashReported {
		return
	}
	for _, request := range running {
		request.crashReported = true
	}
	var blamed []*Request
	for _, request := range running {
		if quarantine.suspected(request) {
			blamed = append(blamed, request)
		}
	}
	if len(blamed) == 0 {
		for _, request := range running {
			blamed = append(blamed, request)
		}
	}
	for _, request := range blamed {
		if request.Digest == "" {
			continue
		}
		record, ok := quarantine.crashes[request.workspaceDigest()]
		if !ok {
			record = &crashRecord{}
			quarantine.crashes[request.workspaceDigest()] = record
		}
		record.count++
		record.until = now.Add(QuarantineTime)
	}
}

// clearSuspect removes the crash record of a suspect that has completed.
func (quarantine *quarantine) clearSuspect(request *Request) {
	if quarantine.suspected(request) && !quarantine.banned(request) {
		delete(quarantine.crashes, request.workspaceDigest())
	}
}

// ban quarantines a digest that another pool has identified.
func (quarantine *quarantine) ban(now time.Time, digest string) {
	quarantine.crashes[digest] = &crashRecord{count: quarantineCrashes, until: now.Add(QuarantineTime)}
}

// list returns the quarantined digests.
func (quarantine *quarantine) list() []string {
	var digests []string
	for digest, record := range quarantine.crashes {
		if record.count >= quarantineCrashes {
			digests = append(digests, digest)
		}
	}
	return digests
}

func (quarantine *quarantine) expire(now time.Time) {
	for digest, record := range quarantine.crashes {
		if !now.Before(record.until) {
			delete(quarantine.crashes, digest)
		}
	}
}
