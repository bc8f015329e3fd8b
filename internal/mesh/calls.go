package mesh

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/godwitspread/godwitspread/internal/budget"
	"github.com/godwitspread/godwitspread/internal/history"
	"github.com/godwitspread/godwitspread/internal/peer"
	"github.com/godwitspread/godwitspread/internal/quota"
	"github.com/godwitspread/godwitspread/internal/store"
)

// Methods between hosts.
const (
	methodStatus  = "status"
	methodAppend  = "append"
	methodRead    = "read"
	methodList    = "list"
	methodFind    = "find"
	methodRelease = "release"
	methodReserve = "reserve"
	methodSettle  = "settle"
	methodPush    = "push"
	methodQuota   = "quota"
	methodBegun   = "begun"
)

// Services are what this host does for others.
type Services struct {
	Store   store.Store // the direct path to the store
	Chain   func(workspace, id string) []history.Turn
	Push    func([]history.Turn)
	Release func(ctx context.Context, program string) (int, error)
	Reserve func(ctx context.Context, question budget.Question) (budget.Answer, error)
	Settle  func(settlement budget.Settlement)
	Quota   func(question quota.Question) quota.Answer
	Begun   func(program string) bool
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

type releaseAnswer struct {
	Returned int `msgpack:"r,omitempty"`
}

type begunQuestion struct {
	Program string `msgpack:"p"`
}

type begunAnswer struct {
	Begun bool `msgpack:"b,omitempty"`
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

// sequenceName and storeErrors name the store's errors between hosts.
const sequenceName = "sequence"

var storeErrors = map[string]error{"trimmed": store.ErrTrimmed, "full": store.ErrFull, "invalid": store.ErrInvalid}

// with adds an error of the store's own. Other errors end the call.
func (answer storeAnswer) with(err error) (storeAnswer, error) {
	var sequence *store.SequenceError
	switch {
	case err == nil:
		return answer, nil
	case errors.As(err, &sequence):
		return storeAnswer{Error: sequenceName, Expected: sequence.Expected}, nil
	}
	for name, known := range storeErrors {
		if errors.Is(err, known) {
			return storeAnswer{Error: name}, nil
		}
	}
	return storeAnswer{}, err
}

func (answer *storeAnswer) err() error {
	if answer.Error == "" {
		return nil
	}
	if answer.Error == sequenceName {
		return &store.SequenceError{Expected: answer.Expected}
	}
	if known, ok := storeErrors[answer.Error]; ok {
		return known
	}
	return fmt.Errorf("peer relayed an unknown error of the store: %q", answer.Error)
}

// Handler serves calls of other hosts.
func (mesh *Mesh) Handler(services Services) peer.Handler {
	handlers := map[string]peer.Handler{
		methodStatus: answering(func(_ context.Context, status Status) (Status, error) {
			mesh.Hear(status)
			return mesh.status(), nil
		}),
		methodAppend: answering(func(ctx context.Context, batch store.Append) (storeAnswer, error) {
			offset, err := services.Store.Append(ctx, batch)
			return storeAnswer{Offset: offset}.with(err)
		}),
		methodRead: answering(func(ctx context.Context, read store.Read) (storeAnswer, error) {
			page, err := services.Store.Read(ctx, read)
			return storeAnswer{Page: page}.with(err)
		}),
		methodList: answering(func(ctx context.Context, list store.List) (storeAnswer, error) {
			listing, err := services.Store.List(ctx, list)
			return storeAnswer{Listing: listing}.with(err)
		}),
		methodFind: answering(func(_ context.Context, question findQuestion) (findAnswer, error) {
			return findAnswer{Turns: services.Chain(question.Workspace, question.ID)}, nil
		}),
		methodPush: answering(func(_ context.Context, copies findAnswer) (done, error) {
			services.Push(copies.Turns)
			return done{}, nil
		}),
		methodRelease: answering(func(ctx context.Context, question releaseQuestion) (releaseAnswer, error) {
			returned, err := services.Release(ctx, question.Program)
			return releaseAnswer{Returned: returned}, err
		}),
		methodReserve: answering(services.Reserve),
		methodSettle: answering(func(_ context.Context, settlement budget.Settlement) (done, error) {
			services.Settle(settlement)
			return done{}, nil
		}),
		methodQuota: answering(func(_ context.Context, question quota.Question) (quota.Answer, error) {
			return services.Quota(question), nil
		}),
		methodBegun: answering(func(_ context.Context, question begunQuestion) (begunAnswer, error) {
			return begunAnswer{Begun: services.Begun(question.Program)}, nil
		}),
	}
	return func(ctx context.Context, request peer.Request, send func(any) error) error {
		handler, known := handlers[request.Method]
		if !known {
			return fmt.Errorf("unknown method %q", request.Method)
		}
		return handler(ctx, request, send)
	}
}

// answering serves a method with one question and one answer.
func answering[Q, A any](serve func(context.Context, Q) (A, error)) peer.Handler {
	return func(ctx context.Context, request peer.Request, send func(any) error) error {
		var question Q
		if err := request.Decode(&question); err != nil {
			return err
		}
		answer, err := serve(ctx, question)
		if err != nil {
			return err
		}
		return send(answer)
	}
}

const (
	findTimeout    = 350 * time.Millisecond // a live host answers within a few milliseconds
	nearTimeout    = 60 * time.Millisecond
	peerTimeout    = 400 * time.Millisecond
	reserveTimeout = 300 * time.Millisecond // two calls of the store and a way there and back, with room
	settleTries    = 3
	quotaTimeout   = 120 * time.Millisecond
)

// Find implements history.Peers. The host that gathers the program's turns in
// this data centre is asked first.
func (mesh *Mesh) Find(ctx context.Context, program, workspace, id string) []history.Turn {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	question := findQuestion{workspace, id}
	near, self := mesh.homeOf(program, mesh.own.DataCentre)
	if !self {
		asking, cancel := context.WithTimeout(ctx, nearTimeout)
		var answer findAnswer
		err := mesh.transport.Ask(asking, near.Address, methodFind, question, &answer)
		cancel()
		if err == nil && len(answer.Turns) > 0 && answer.Turns[0].Previous == "" {
			return answer.Turns
		}
	}
	live := mesh.Live()
	answers := make(chan []history.Turn, len(live))
	for _, status := range live {
		go func() {
			var answer findAnswer
			if err := mesh.transport.Ask(ctx, status.Member.Address, methodFind, question, &answer); err != nil {
				mesh.logger.WithError(err).WithField("peer", status.Member.Host).Debug("host not asked for a turn")
			}
			answers <- answer.Turns
		}()
	}
	var longest []history.Turn
	for range live {
		turns := <-answers
		if len(turns) > len(longest) {
			longest = turns
		}
		if len(longest) > 0 && longest[0].Previous == "" {
			return longest
		}
	}
	return longest
}

// Push implements history.Peers: the host that gathers the program's turns in
// this data centre gets copies. It is no loss if they do not arrive.
func (mesh *Mesh) Push(program string, turns []history.Turn) {
	near, self := mesh.homeOf(program, mesh.own.DataCentre)
	if self {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		var answer done
		if err := mesh.transport.Ask(ctx, near.Address, methodPush, findAnswer{Turns: turns}, &answer); err != nil {
			mesh.logger.WithError(err).WithFields(log.Fields{"peer": near.Host, "program": program}).Debug("turns not passed to the gathering host")
		}
	}()
}

// Recall asks a host to return its part of a budget.
func (mesh *Mesh) Recall(ctx context.Context, incarnation, program string) (returned int, lost bool, err error) {
	address, found, replaced := mesh.ByIncarnation(incarnation)
	if !found {
		return 0, replaced, fmt.Errorf("host %q is not known", incarnation)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var answer releaseAnswer
	err = mesh.transport.Ask(ctx, address, methodRelease, releaseQuestion{program}, &answer)
	return answer.Returned, false, err
}

// Reserve implements budget.Homes.
func (mesh *Mesh) Reserve(ctx context.Context, address string, question budget.Question) (budget.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var answer budget.Answer
	err := mesh.transport.Ask(ctx, address, methodReserve, question, &answer)
	return answer, err
}

// Settle implements budget.Homes.
func (mesh *Mesh) Settle(address string, settlement budget.Settlement) {
	go func() {
		var answer done
		for range settleTries {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			err := mesh.transport.Ask(ctx, address, methodSettle, settlement, &answer)
			cancel()
			if err == nil {
				return
			}
		}
		mesh.logger.WithFields(log.Fields{"program": settlement.Program, "address": address}).Info("reservation not settled; its host counts it as spent")
	}()
}

// Begun implements budget.Homes.
func (mesh *Mesh) Begun(ctx context.Context, program string) bool {
	ctx, cancel := context.WithTimeout(ctx, nearTimeout)
	defer cancel()
	centres := mesh.otherDataCentres()
	answers := make(chan bool, len(centres))
	for _, centre := range centres {
		home, _ := mesh.homeOf(program, centre)
		go func() {
			var answer begunAnswer
			if err := mesh.transport.Ask(ctx, home.Address, methodBegun, begunQuestion{program}, &answer); err != nil {
				mesh.logger.WithError(err).WithField("peer", home.Host).Debug("host not asked for a program")
			}
			answers <- answer.Begun
		}()
	}
	for range centres {
		if <-answers {
			return true
		}
	}
	return false
}

// otherDataCentres returns those of which a host is heard.
func (mesh *Mesh) otherDataCentres() []string {
	known := map[string]bool{mesh.own.DataCentre: true}
	var centres []string
	for _, status := range mesh.Live() {
		if centre := status.Member.DataCentre; !known[centre] {
			known[centre] = true
			centres = append(centres, centre)
		}
	}
	return centres
}

// AskQuota implements quota.Keepers.
func (mesh *Mesh) AskQuota(ctx context.Context, address string, question quota.Question) (quota.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	var answer quota.Answer
	err := mesh.transport.Ask(ctx, address, methodQuota, question, &answer)
	return answer, err
}

// Portion implements quota.Keepers.
func (mesh *Mesh) Portion() (heard, alone float64) {
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	live := 1
	for _, one := range mesh.members {
		if mesh.clock.Since(one.heard) <= heardTime {
			live++
		}
	}
	all := float64(len(mesh.members) + 1)
	return float64(live) / all, 1 / all
}

// Home implements quota.Keepers: the host that keeps a workspace's account.
func (mesh *Mesh) Home(workspace string) (address string, self bool) {
	home, self := mesh.homeOf(workspace, "")
	return home.Address, self
}

// Counting implements budget.Homes: the host of this data centre that counts a
// program's budget. Most programs stay in one, and go on when it is cut off.
func (mesh *Mesh) Counting(program string) (address string, self bool) {
	home, self := mesh.homeOf(program, mesh.own.DataCentre)
	return home.Address, self
}

// homeOf returns the live host with the highest weight for a program, in a
// data centre or in all.
func (mesh *Mesh) homeOf(program, dataCentre string) (Member, bool) {
	var best Member
	highest := uint64(0)
	if dataCentre == "" || dataCentre == mesh.own.DataCentre {
		best, highest = mesh.own, weigh(mesh.own.Host, program)
	}
	mesh.mutex.Lock()
	defer mesh.mutex.Unlock()
	now := mesh.clock.Now()
	for _, one := range mesh.members {
		if dataCentre != "" && one.DataCentre != dataCentre || now.Sub(one.heard) > heardTime || one.status.Stopping {
			continue
		}
		if weight := weigh(one.Host, program); weight > highest {
			best, highest = one.Member, weight
		}
	}
	return best, best.Host == mesh.own.Host
}

func weigh(host, program string) uint64 {
	return xxhash.Sum64String(host + "\x00" + program)
}
