package mesh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Methods between hosts.
const (
	methodStatus  = "status"
	methodAppend  = "append"
	methodRead    = "read"
	methodList    = "list"
	methodFind    = "find"
	methodHold    = "hold"
	methodRelease = "release"
)

// Services are what this host does for others.
type Services struct {
	Store   store.Store // the direct path to the store
	Chain   func(workspace, id string) []history.Turn
	Hold    func(history.Turn) error
	Release func(ctx context.Context, program string) error
	Status  func() Status
}

type findQuestion struct {
	Workspace string `msgpack:"w"`
	ID        string `msgpack:"i"`
}

type findAnswer struct {
	Turns []history.Turn `msgpack:"t,omitempty"`
}

type releaseQuestion struct {
	Program string `msgpack:"p"`
}

type done struct{}

// storeAnswer carries the store's answer over the mesh, errors of its own
// included.
type storeAnswer struct {
	Offset   int64         `msgpack:"o,omitempty"`
	Page     store.Page    `msgpack:"p,omitempty"`
	Listing  store.Listing `msgpack:"l,omitempty"`
	Error    string        `msgpack:"e,omitempty"`
	Expected int64         `msgpack:"x,omitempty"`
}

var storeErrors = map[string]error{"trimmed": store.ErrTrimmed, "full": store.ErrFull, "invalid": store.ErrInvalid}

func (answer *storeAnswer) fill(err error) error {
	if err == nil {
		return nil
	}
	var sequence *store.SequenceError
	if errors.As(err, &sequence) {
		answer.Error, answer.Expected = "sequence", sequence.Expected
		return nil
	}
	for name, known := range storeErrors {
		if errors.Is(err, known) {
			answer.Error = name
			return nil
		}
	}
	return err
}

func (answer *storeAnswer) err() error {
	if answer.Error == "" {
		return nil
	}
	if answer.Error == "sequence" {
		return &store.SequenceError{Expected: answer.Expected}
	}
	if known, ok := storeErrors[answer.Error]; ok {
		return known
	}
	return fmt.Errorf("peer relayed an unknown error of the store: %q", answer.Error)
}

// Handler serves calls of other hosts.
func (mesh *Mesh) Handler(services Services) peer.Handler {
	return func(ctx context.Context, request peer.Request, send func(any) error) error {
		switch request.Method {
		case methodStatus:
			var status Status
			if err := request.Decode(&status); err != nil {
				return err
			}
			mesh.Hear(status)
			return send(mesh.status())
		case methodAppend, methodRead, methodList:
			return relay(ctx, services.Store, request, send)
		case methodFind:
			var question findQuestion
			if err := request.Decode(&question); err != nil {
				return err
			}
			return send(findAnswer{Turns: services.Chain(question.Workspace, question.ID)})
		case methodHold:
			var turn history.Turn
			if err := request.Decode(&turn); err != nil {
				return err
			}
			if err := services.Hold(turn); err != nil {
				return err
			}
			return send(done{})
		case methodRelease:
			var question releaseQuestion
			if err := request.Decode(&question); err != nil {
				return err
			}
			if err := services.Release(ctx, question.Program); err != nil {
				return err
			}
			return send(done{})
		default:
			return fmt.Errorf("unknown method %q", request.Method)
		}
	}
}

// relay makes a call of the store for another host.
func relay(ctx context.Context, direct store.Store, request peer.Request, send func(any) error) error {
	var answer storeAnswer
	var err error
	switch request.Method {
	case methodAppend:
		var batch store.Append
		if err := request.Decode(&batch); err != nil {
			return err
		}
		answer.Offset, err = direct.Append(ctx, batch)
	case methodRead:
		var read store.Read
		if err := request.Decode(&read); err != nil {
			return err
		}
		answer.Page, err = direct.Read(ctx, read)
	default:
		var list store.List
		if err := request.Decode(&list); err != nil {
			return err
		}
		answer.Listing, err = direct.List(ctx, list)
	}
	if err := answer.fill(err); err != nil {
		return err
	}
	return send(answer)
}

const (
	findTimeout = 350 * time.Millisecond // a live host answers within a few milliseconds
	holdTimeout = 400 * time.Millisecond
)

// Find implements history.Peers.
func (mesh *Mesh) Find(ctx context.Context, workspace, id string) ([]history.Turn, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	live := mesh.Live()
	answers := make(chan []history.Turn, len(live))
	var failed sync.Map
	for _, status := range live {
		go func() {
			var answer findAnswer
			if err := mesh.transport.Ask(ctx, status.Member.Address, methodFind, findQuestion{workspace, id}, &answer); err != nil {
				failed.Store(status.Member.Host, true)
			}
			answers <- answer.Turns
		}()
	}
	for range live {
		if turns := <-answers; len(turns) > 0 {
			return turns, true
		}
	}
	all := mesh.Silent() == 0
	failed.Range(func(any, any) bool { all = false; return false })
	return nil, all
}

// Hold implements history.Peers: one host of another data centre keeps the
// turn.
func (mesh *Mesh) Hold(ctx context.Context, turn history.Turn) error {
	err := errors.New("no host of another data centre is heard")
	for _, status := range mesh.Live() {
		if status.Member.DataCentre == mesh.own.DataCentre {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, holdTimeout)
		var answer done
		err = mesh.transport.Ask(asking, status.Member.Address, methodHold, turn, &answer)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// Recall asks a host to return its part of a budget.
func (mesh *Mesh) Recall(ctx context.Context, incarnation, program string) (lost bool, err error) {
	address, found, replaced := mesh.ByIncarnation(incarnation)
	if !found {
		return replaced, fmt.Errorf("host %q is not known", incarnation)
	}
	var answer done
	return false, mesh.transport.Ask(ctx, address, methodRelease, releaseQuestion{program}, &answer)
}
