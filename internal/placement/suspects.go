package placement

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	crashesToBan   = 2               // crashes after which a request is refused everywhere
	quarantineTime = 5 * time.Minute // without a further crash
	mostSuspects   = 256
)

// Suspects remembers requests that were running when a target crashed. Such a
// request comes again with the same content, at any host.
type Suspects struct {
	mutex  sync.Mutex
	own    map[uint64]*blame
	others map[string]map[uint64]int // by host
}

type blame struct {
	crashes int
	until   time.Time
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects {
	return &Suspects{own: make(map[uint64]*blame), others: make(map[string]map[uint64]int)}
}

// Digest names the content of a request within its workspace.
func Digest(workspace, uri, previous string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{workspace, uri, previous} {
		// Writing to a digest cannot fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Crashed blames a request for the crash of its target.
func (suspects *Suspects) Crashed(digest uint64, now time.Time) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	one, ok := suspects.own[digest]
	if !ok {
		suspects.sweep(now)
		if len(suspects.own) >= mostSuspects {
			return
		}
		one = &blame{}
		suspects.own[digest] = one
	}
	one.crashes++
	one.until = now.Add(quarantineTime)
}

func (suspects *Suspects) sweep(now time.Time) {
	for digest, one := range suspects.own {
		if now.After(one.until) {
			delete(suspects.own, digest)
		}
	}
}

// Banned reports whether a request has crashed so many targets, over all hosts,
// that it is refused.
func (suspects *Suspects) Banned(digest uint64, now time.Time) bool {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	crashes := 0
	if one, ok := suspects.own[digest]; ok && now.Before(one.until) {
		crashes = one.crashes
	}
	for _, told := range suspects.others {
		crashes += told[digest]
	}
	return crashes >= crashesToBan
}

// Own returns the crashes that this host has seen, by request.
func (suspects *Suspects) Own(now time.Time) map[uint64]int {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.sweep(now)
	if len(suspects.own) == 0 {
		return nil
	}
	told := make(map[uint64]int, len(suspects.own))
	for digest, one := range suspects.own {
		told[digest] = one.crashes
	}
	return told
}

// Hear takes what another host has seen. What a lost host told stays.
func (suspects *Suspects) Hear(host string, told map[uint64]int) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if len(told) == 0 {
		delete(suspects.others, host)
		return
	}
	suspects.others[host] = told
}
