// Package key gives, checks and withdraws the keys of callers. Only digests
// leave the program that gives a key.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"
)

// Prefix starts every key, so that a key is recognised wherever it turns up.
const Prefix = "gsk_"

// Key is what the system knows about a key.
type Key struct {
	ID        string `msgpack:"id" json:"id"`
	Workspace string `msgpack:"workspace" json:"workspace"`
	Digest    []byte `msgpack:"digest" json:"-"`
}

// Generate returns a fresh secret and the key that stands for it.
func Generate(workspace string) (secret string, key Key) {
	secret = Prefix + strings.ToLower(rand.Text())
	digest := Digest(secret)
	return secret, Key{ID: "k-" + strings.ToLower(rand.Text()[:12]), Workspace: workspace, Digest: digest}
}

// Digest returns the digest of a secret.
func Digest(secret string) []byte {
	sum := sha256.Sum256([]byte(secret))
	return sum[:]
}

// Verdict tells what became of a give.
type Verdict int

// Verdicts of Give.
const (
	Given Verdict = iota
	Known
	Withdrawn
)

// Ring is the set of keys. It is not safe for concurrent use.
type Ring struct {
	byDigest  map[string]Key
	byID      map[string]Key
	withdrawn map[string]struct{}
}

// NewRing returns an empty ring.
func NewRing() *Ring {
	return &Ring{byDigest: make(map[string]Key), byID: make(map[string]Key), withdrawn: make(map[string]struct{})}
}

// Give adds a key unless it was withdrawn before.
func (ring *Ring) Give(key Key) Verdict {
	if _, ok := ring.withdrawn[key.ID]; ok {
		return Withdrawn
	}
	if _, ok := ring.byID[key.ID]; ok {
		return Known
	}
	ring.byID[key.ID] = key
	ring.byDigest[hex.EncodeToString(key.Digest)] = key
	return Given
}

// Withdraw removes a key for good. It reports whether that was news.
func (ring *Ring) Withdraw(id string) bool {
	if _, ok := ring.withdrawn[id]; ok {
		return false
	}
	ring.withdrawn[id] = struct{}{}
	if key, ok := ring.byID[id]; ok {
		delete(ring.byDigest, hex.EncodeToString(key.Digest))
		delete(ring.byID, id)
	}
	return true
}

// Find returns the key of a secret.
func (ring *Ring) Find(secret string) (Key, bool) {
	digest := Digest(secret)
	key, ok := ring.byDigest[hex.EncodeToString(digest)]
	if !ok || subtle.ConstantTimeCompare(key.Digest, digest) != 1 {
		return Key{}, false
	}
	return key, true
}

// Valid reports whether a key id is given and not withdrawn.
func (ring *Ring) Valid(id string) bool {
	_, ok := ring.byID[id]
	return ok
}

// Keys returns the valid keys in order of id.
func (ring *Ring) Keys() []Key {
	keys := make([]Key, 0, len(ring.byID))
	for _, key := range ring.byID {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].ID < keys[b].ID })
	return keys
}

// WithdrawnIDs returns the withdrawn key ids in order.
func (ring *Ring) WithdrawnIDs() []string {
	ids := make([]string, 0, len(ring.withdrawn))
	for id := range ring.withdrawn {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
