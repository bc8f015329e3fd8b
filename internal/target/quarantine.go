package target

import "time"

// quarantine remembers requests that were running when a target crashed.
type quarantine struct {
	crashes map[string]*crash
}

type crash struct {
	count int
	until time.Time
}

const (
	quarantineCrashes = 2 // crashes after which a request is refused
)

// QuarantineTime is how long a request that crashes targets is refused.
const QuarantineTime = 15 * time.Minute

func newQuarantine() *quarantine {
	return &quarantine{crashes: make(map[string]*crash)}
}

// digest names the content of a request within its workspace.
func (request *Request) digest() string {
	return request.Workspace + "\x00" + request.Digest
}

// suspected reports whether a request has run into a crash before.
func (quarantine *quarantine) suspected(request *Request) bool {
	if len(quarantine.crashes) == 0 || request.Digest == "" {
		return false
	}
	_, ok := quarantine.crashes[request.digest()]
	return ok
}

// banned reports whether a request is refused.
func (quarantine *quarantine) banned(request *Request) bool {
	if len(quarantine.crashes) == 0 || request.Digest == "" {
		return false
	}
	crash, ok := quarantine.crashes[request.digest()]
	return ok && crash.count >= quarantineCrashes
}

// crashed blames the requests that ran on a target when it crashed. If one of
// them is a suspect already, the others are not blamed: at most one suspect
// runs on a target at one time, so a second crash tells it apart. Every caller
// reports the crash; the first report blames for all of them.
func (quarantine *quarantine) crashed(now time.Time, reporter *Request, running map[uint64]*Request) {
	if reporter.crashSeen {
		return
	}
	for _, request := range running {
		request.crashSeen = true
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
		entry, ok := quarantine.crashes[request.digest()]
		if !ok {
			entry = &crash{}
			quarantine.crashes[request.digest()] = entry
		}
		entry.count++
		entry.until = now.Add(QuarantineTime)
	}
}

// cleared forgets a suspect that ran to its end.
func (quarantine *quarantine) cleared(request *Request) {
	if quarantine.suspected(request) && !quarantine.banned(request) {
		delete(quarantine.crashes, request.digest())
	}
}

// ban puts a digest under quarantine that another pool has found out.
func (quarantine *quarantine) ban(now time.Time, digest string) {
	quarantine.crashes[digest] = &crash{count: quarantineCrashes, until: now.Add(QuarantineTime)}
}

// list returns the digests under quarantine.
func (quarantine *quarantine) list() []string {
	var digests []string
	for digest, crash := range quarantine.crashes {
		if crash.count >= quarantineCrashes {
			digests = append(digests, digest)
		}
	}
	return digests
}

func (quarantine *quarantine) tick(now time.Time) {
	for digest, crash := range quarantine.crashes {
		if !now.Before(crash.until) {
			delete(quarantine.crashes, digest)
		}
	}
}
