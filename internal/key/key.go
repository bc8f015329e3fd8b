// Package key generates, checks and withdraws the keys of callers. Only the
// digest of a secret leaves the process that generates it.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"
)

// Prefix starts every secret, so that a leaked one is recognised as such.
const Prefix = "gsk_"

// Key describes a key without its secret.
type Key struct {
	ID        string `msgpack:"id" json:"id"`
	Workspace string `msgpack:"workspace" json:"workspace"`
	Digest    []byte `msgpack:"digest" json:"-"`
}

// Generate returns a random secret and its key, which contains only the digest of the
// secret.
func Generate(workspace string) (secret string, key Key) {
	secret = Prefix + strings.ToLower(rand.Text())
	digest := Digest(secret)
	return secret, Key{ID: "k-" + strings.ToLower(rand.Text()[:12]), Workspace: workspace, Digest: digest}
}

// Digest returns the SHA-256 digest of a secret.
func Digest(secret string) []byte {
	digest := sha256.Sum256([]byte(secret))
	return digest[:]
}

// AddResult is the result of Ring.Add.
type AddResult int

// Results of Ring.Add.
const (
	Added     AddResult = iota
	Duplicate           // the ID is in the ring already
	Withdrawn           // the ID was withdrawn before
)

// Ring is the set of valid keys and the IDs of withdrawn ones. It is not safe for
// concurrent use.
type Ring struct {
	byDigest  map[string]Key // by the digest in hexadecimal
	byID      map[string]Key
	withdrawn map[string]struct{}
}

// NewRing returns an empty ring.
func NewRing() *Ring {
	return &Ring{byDigest: make(map[string]Key), byID: make(map[string]Key), withdrawn: make(map[string]struct{})}
}

// Add adds a key, unless its ID is in the ring already or was withdrawn before.
func (ring *Ring) Add(key Key) AddResult {
	if _, ok := ring.withdrawn[key.ID]; ok {
		return Withdrawn
	}
	if _, ok := ring.byID[key.ID]; ok {
		return Duplicate
	}
	ring.byID[key.ID] = key
	ring.byDigest[hex.EncodeToString(key.Digest)] = key
	return Added
}

// Withdraw removes a key permanently. It returns false if the key was withdrawn
// before.
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

// Find returns the valid key with the given secret, or false if there is none.
func (ring *Ring) Find(secret string) (Key, bool) {
	digest := Digest(secret)
	key, ok := ring.byDigest[hex.EncodeToString(digest)]
	if !ok || subtle.ConstantTimeCompare(key.Digest, digest) != 1 {
		return Key{}, false
	}
	return key, true
}

// Valid reports whether the ring has a key with the given ID that is not
// withdrawn.
func (ring *Ring) Valid(id string) bool {
	_, ok := ring.byID[id]
	return ok
}

// Keys returns the valid keys, ordered by ID.
func (ring *Ring) Keys() []Key {
	keys := make([]Key, 0, len(ring.byID))
	for _, key := range ring.byID {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].ID < keys[b].ID })
	return keys
}

// WithdrawnIDs returns the sorted IDs of the withdrawn keys.
func (ring *Ring) WithdrawnIDs() []string {
	ids := make([]string, 0, len(ring.withdrawn))
	for id := range ring.withdrawn {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
