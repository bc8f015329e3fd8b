// Package entry takes the requests of callers to the owners of their programs,
// on this host or another, and tries again when an owner is lost.
package entry

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

// CallMessage carries a call to its owner.
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

// CallEvent is one part of the answer to a CallMessage.
type CallEvent struct {
	Text   string          `msgpack:"text,omitempty"`
	Answer *program.Answer `msgpack:"answer,omitempty"`
}

// ProgramMessage asks for something that concerns a whole program.
type ProgramMessage struct {
	Program   string       `msgpack:"program"`
	Workspace string       `msgpack:"workspace"`
	Open      *ledger.Open `msgpack:"open,omitempty"`
	Operator  bool         `msgpack:"operator,omitempty"`
	Hops      int          `msgpack:"hops"`
}

// ProgramAnswer answers a ProgramMessage.
type ProgramAnswer struct {
	View *program.View `msgpack:"view,omitempty"`
}

// ID is a program's identifier. It names the data centre and the slot that the
// program belongs to.
type ID struct {
	DataCentre string
	Slot       int
	Name       string
}

// String returns the form that callers see.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%s", id.DataCentre, id.Slot, id.Name)
}

// NewID returns the identifier of a new program.
func NewID(dataCentre string) ID {
	name := strings.ToLower(rand.Text())
	return ID{DataCentre: dataCentre, Slot: int(xxhash.Sum64String(name) % ledger.SlotCount), Name: name}
}

// NewChildID returns the identifier of a sub-agent. It shares the slot of its
// parent, so that one owner keeps the budget of both.
func NewChildID(parent ID) ID {
	return ID{DataCentre: parent.DataCentre, Slot: parent.Slot, Name: strings.ToLower(rand.Text())}
}

// ImplicitID returns the identifier of the program that stands for a single
// call of a workspace. The same call always gets the same identifier.
func ImplicitID(dataCentre, workspace, call string) ID {
	hash := xxhash.Sum64String(workspace + "\x00" + call)
	return ID{DataCentre: dataCentre, Slot: int(hash % ledger.SlotCount), Name: fmt.Sprintf("c%016x", hash)}
}

// maxID bounds an identifier, in bytes.
const maxID = 160

// ParseID reads an identifier.
func ParseID(text string) (ID, error) {
	parts := strings.Split(text, ".")
	if len(text) > maxID || len(parts) != 3 || parts[0] == "" || parts[2] == "" {
		return ID{}, fmt.Errorf("program id %q is not of the form data_centre.slot.name", text)
	}
	slot, err := strconv.Atoi(parts[1])
	if err != nil || slot < 0 || slot >= ledger.SlotCount {
		return ID{}, fmt.Errorf("program id %q names no slot from 0 to %d", text, ledger.SlotCount-1)
	}
	return ID{DataCentre: parts[0], Slot: slot, Name: parts[2]}, nil
}
