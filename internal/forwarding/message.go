// Package forwarding forwards the requests of callers to the hosts that own their
// programs, and retries them when an owner is lost.
package forwarding

import (
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/ledger"
	"github.com/godwitspread/godwitspread/internal/program"
)

// Methods that hosts call on the owner of a program.
const (
	MethodCall  = "call"
	MethodOpen  = "open"
	MethodEnd   = "end"
	MethodQuery = "query"
)

// CallMessage is a call that is forwarded to the owner of its program. Partial
// is the output that the caller has already received, and Hops the number of
// times that the message has been forwarded.
type CallMessage struct {
	Program       string       `msgpack:"program"`
	Workspace     string       `msgpack:"workspace"`
	Call          string       `msgpack:"call"`
	Turn          int          `msgpack:"turn,omitempty"`
	Service       string       `msgpack:"service"`
	Input         string       `msgpack:"input"`
	MaxTokens     int64        `msgpack:"max_tokens"`
	TimeoutMillis int64        `msgpack:"timeout_ms"`
	Partial       string       `msgpack:"partial,omitempty"`
	Open          *ledger.Open `msgpack:"open,omitempty"`
	Hops          int          `msgpack:"hops"`
}

// CallEvent is one message of the response to a CallMessage: a piece of text or
// the final answer.
type CallEvent struct {
	Text   string          `msgpack:"text,omitempty"`
	Answer *program.Answer `msgpack:"answer,omitempty"`
}

// ProgramMessage is a request to open, end or query a program.
type ProgramMessage struct {
	Program   string       `msgpack:"program"`
	Workspace string       `msgpack:"workspace"`
	Open      *ledger.Open `msgpack:"open,omitempty"`
	Operator  bool         `msgpack:"operator,omitempty"`
	Hops      int          `msgpack:"hops"`
}

// ProgramResponse is the response to a ProgramMessage.
type ProgramResponse struct {
	View *program.View `msgpack:"view,omitempty"`
}

// ID is the identifier of a program. It contains the data centre and the slot
// to which the program belongs.
type ID struct {
	DataCentre string
	Slot       int
	Name       string
}

// String returns the form that is exposed to callers.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%s", id.DataCentre, id.Slot, id.Name)
}

// NewID returns the identifier of a new program.
func NewID(dataCentre string) ID {
	name := strings.ToLower(rand.Text())
	return ID{DataCentre: dataCentre, Slot: int(xxhash.Sum64String(name) % ledger.SlotCount), Name: name}
}

// NewChildID returns the identifier of a sub-agent. It has the slot of its
// parent, because both share a budget that must be managed by one owner.
func NewChildID(parent ID) ID {
	return ID{DataCentre: parent.DataCentre, Slot: parent.Slot, Name: strings.ToLower(rand.Text())}
}

// ImplicitID returns the identifier of the program that is created for a single
// call. It is derived from the workspace and the call, so that a retry of the
// call reaches the same program.
func ImplicitID(dataCentre, workspace, call string) ID {
	hash := xxhash.Sum64String(workspace + "\x00" + call)
	return ID{DataCentre: dataCentre, Slot: int(hash % ledger.SlotCount), Name: fmt.Sprintf("c%016x", hash)}
}

const maxIDBytes = 160

// ParseID parses the string form of an identifier.
func ParseID(text string) (ID, error) {
	parts := strings.Split(text, ".")
	if len(text) > maxIDBytes || len(parts) != 3 || parts[0] == "" || parts[2] == "" {
		return ID{}, fmt.Errorf("program id %q is not of the form data_centre.slot.name", text)
	}
	slot, err := strconv.Atoi(parts[1])
	if err != nil || slot < 0 || slot >= ledger.SlotCount {
		return ID{}, fmt.Errorf("program id %q names no slot from 0 to %d", text, ledger.SlotCount-1)
	}
	return ID{DataCentre: parts[0], Slot: slot, Name: parts[2]}, nil
}
